//! Ports for operators and announcements: slow, malformed and too many connections.

use {
    async_std::task,
    shallotdeal::connection::{self, PortLimits},
    std::{
        io::{Read, Write},
        net::{SocketAddr, TcpListener, TcpStream},
        time::Duration,
    },
};

const SHORT_READ_TIMEOUT_MS: u64 = 300;
const LONG_READ_TIMEOUT_MS: u64 = 60_000;
const TIMEOUT: Duration = Duration::from_secs(20);
const GET: &[u8] = b"GET / HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n";

fn serve(read_timeout_ms: u64) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    drop(listener);
    let limits = PortLimits {
        max_connections: 2,
        read_timeout_ms,
    };
    let mut app = tide::new();
    app.at("/").get(|_| async { Ok("whole") });
    task::spawn(connection::listen(addr, app, limits));
    addr
}

fn connect(addr: SocketAddr) -> TcpStream {
    loop {
        if let Ok(stream) = TcpStream::connect(addr) {
            stream.set_read_timeout(Some(TIMEOUT)).unwrap();
            return stream;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// Sends bytes and reads until the other side closes; empty if it closed at once.
fn exchange(addr: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = connect(addr);
    let _ = stream.write_all(bytes);
    let mut text = String::new();
    let _ = stream.read_to_string(&mut text);
    text
}

fn wait_until_served(addr: SocketAddr) {
    while !exchange(addr, GET).ends_with("whole") {
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn malformed_and_stalled_heads_are_refused() {
    let addr = serve(SHORT_READ_TIMEOUT_MS);
    for bytes in [&b"nonsense\r\n\r\n"[..], b"GET / HTTP/1.1\r\nhost"] {
        wait_until_served(addr);
        let text = exchange(addr, bytes);
        assert!(text.starts_with("HTTP/1.1 400 "), "{text}");
    }
}

#[test]
fn connections_over_the_limit_are_closed_until_others_end() {
    let addr = serve(LONG_READ_TIMEOUT_MS);
    let open = [connect(addr), connect(addr)];
    assert_eq!(exchange(addr, GET), "");
    drop(open);
    wait_until_served(addr);
}
