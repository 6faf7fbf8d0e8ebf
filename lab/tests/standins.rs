//! Scenario files, answer bodies, the HTTP client and the forwarders.

use {
    async_std::{
        io::{ReadExt, WriteExt},
        net::{TcpListener, TcpStream, UdpSocket},
        stream::StreamExt,
        task,
    },
    http_types::Method,
    lab::{
        backend::{AnswerError, answer_body, check_body},
        client::{Client, ClientError},
        forward::Forwarders,
        network::Network,
        scenario::Scenario,
    },
    socket2::{Domain, Socket, Type},
    std::{
        fs,
        net::{IpAddr, SocketAddr},
        path::Path,
        time::Duration,
    },
};

/// Second octet of IP addresses that no other test uses.
const NET: u8 = 61;

fn scenarios() -> Vec<Scenario> {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios");
    let files = fs::read_dir(directory).expect("the directory exists");
    files
        .map(|file| Scenario::read(&file.expect("an entry").path()).expect("a valid scenario"))
        .collect()
}

#[test]
fn the_scenario_files_are_valid() {
    let scenarios = scenarios();
    assert!(scenarios.len() >= 3);
    for scenario in scenarios {
        for load in &scenario.loads {
            assert!(scenario.class(&load.class).is_some(), "{}", load.name);
        }
    }
}

#[test]
fn a_call_to_a_missing_path_is_an_error_that_names_it() {
    let text = "[scenario]\nname = x\n[service a]\nslots = 1\nworkers = w\n\
                [path a/b]\nmedian-ms = 1\ncalls = a/c\n";
    let ini = ini::Ini::load_from_str(text).expect("valid INI");
    let error = Scenario::try_from(&ini).expect_err("a/c is not described");
    insta::assert_snapshot!(error, @"[path] a/c: is called, but not described");
}

#[test]
fn corrupt_and_foreign_answers_are_detected() {
    let body = answer_body("0123", 200);
    assert_eq!(check_body("0123", body.as_bytes()), Ok(()));
    assert_eq!(
        check_body("4567", body.as_bytes()),
        Err(AnswerError::OtherRequest)
    );
    for cut in [0, 10, body.len() - 1] {
        let part = &body.as_bytes()[..cut];
        assert_eq!(check_body("0123", part), Err(AnswerError::Corrupt));
    }
}

#[test]
fn a_truncated_answer_is_an_error() {
    task::block_on(truncated_answer());
}

async fn truncated_answer() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let peer = listener.local_addr().expect("an address");
    task::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut head = [0; 1_024];
        stream.read(&mut head).await.expect("a request");
        let part = b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nfour";
        stream.write_all(part).await.expect("a part of an answer");
    });
    let client = Client::new(peer);
    let request = client.request(Method::Get, "/");
    let result = client.send(request).await;
    assert!(
        matches!(
            result,
            Err(ClientError::Cut {
                want_bytes: 10,
                got_bytes: 4,
                ..
            })
        ),
        "{result:?}"
    );
}

/// Connects from the IP address of a host, as its daemon does.
async fn connect_from(ip: IpAddr, to: SocketAddr) -> TcpStream {
    task::spawn_blocking(move || {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        let local_address = SocketAddr::new(ip, 0);
        socket
            .bind(&local_address.into())
            .expect("a loopback address");
        socket.connect(&to.into()).expect("a forwarder");
        std::net::TcpStream::from(socket).into()
    })
    .await
}

#[test]
fn a_cut_delays_calls_until_it_ends_and_drops_gossip() {
    task::block_on(cut_and_restore());
}

async fn cut_and_restore() {
    let mut scenarios = scenarios().into_iter();
    let scenario = scenarios
        .find(|scenario| scenario.name == "langar in small")
        .expect("the small scenario");
    let network = Network::new(NET, &scenario, &["wien".into(), "salzburg".into()]);
    let forwarders = Forwarders::start(&network).await.expect("free addresses");
    let listener = TcpListener::bind(network.calls(1))
        .await
        .expect("a free address");
    let source = UdpSocket::bind(network.gossip(0))
        .await
        .expect("a free address");
    let target = UdpSocket::bind(network.gossip(1))
        .await
        .expect("a free address");

    let ip = network.calls(0).ip();
    let mut stream = connect_from(ip, network.advertised_calls(1)).await;
    let accepted = listener.incoming().next().await.expect("a connection");
    let mut accepted = accepted.expect("a connection");
    network.cut("ost", "west", true);
    stream
        .write_all(b"held")
        .await
        .expect("the forwarder accepts data");
    let gossip = network.advertised_gossip(1);
    source.send_to(b"lost", gossip).await.expect("a datagram");
    let mut received = [0; 4];
    let early = futures::poll!(std::pin::pin!(accepted.read_exact(&mut received)));
    assert!(early.is_pending());
    while network.link(Some(0), 1).dropped_datagrams() == 0 {
        task::sleep(Duration::from_millis(1)).await;
    }
    network.cut("ost", "west", false);
    accepted
        .read_exact(&mut received)
        .await
        .expect("the held bytes");
    assert_eq!(&received, b"held");

    source.send_to(b"seen", gossip).await.expect("a datagram");
    let (read_bytes, from) = target.recv_from(&mut received).await.expect("a datagram");
    assert_eq!(&received[..read_bytes], b"seen");
    assert_eq!(from, network.advertised_gossip(0));
    forwarders.stop().await;
}
