//! Gossip over real sockets of the loopback interface.

use {
    async_std::{future::timeout, net::UdpSocket, task},
    parking_lot::Mutex,
    shallotdeal::{
        clock::{Clock, SystemClock},
        fleet::{Fleet, FleetRules, member::Generation, report::Event, udp::Gossip},
        place::{DataCentre, Place, Region},
    },
    smol_str::SmolStr,
    std::{
        net::{SocketAddr, UdpSocket as StdUdpSocket},
        sync::Arc,
        time::Duration,
    },
};

const TIMEOUT: Duration = Duration::from_secs(20);

fn free_addr() -> SocketAddr {
    let socket = StdUdpSocket::bind("127.0.0.1:0").expect("a free port");
    socket.local_addr().expect("an address")
}

fn fleet(name: &str, gossip_addr: SocketAddr, generation: u64) -> Arc<Mutex<Fleet>> {
    let place = Place {
        name: SmolStr::new(name),
        region: Region(SmolStr::new("ost")),
        data_centre: DataCentre(SmolStr::new("wien")),
        call_addr: gossip_addr,
        gossip_addr,
    };
    let fleet = Fleet::new(
        FleetRules::default(),
        place,
        Generation(generation),
        generation,
    );
    Arc::new(Mutex::new(fleet))
}

/// Waits until the condition holds.
async fn wait_until(mut condition: impl FnMut() -> bool) {
    let polling = async {
        while !condition() {
            task::sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(TIMEOUT, polling)
        .await
        .expect("the condition holds in time");
}

#[test]
fn two_daemons_join_ignore_malformed_datagrams_and_leave() {
    task::block_on(async {
        let clock: Arc<dyn Clock> = Arc::new(SystemClock::new());
        let (one_addr, other_addr) = (free_addr(), free_addr());
        let one = fleet("one", one_addr, 1);
        let other = fleet("other", other_addr, 2);
        other.lock().join(&[one_addr]);
        let (listener, events) = async_channel::bounded(64);
        let one_gossip = Gossip::bind(one_addr, one.clone(), clock.clone())
            .await
            .expect("a socket")
            .with_listener(listener);
        let other_gossip = Gossip::bind(other_addr, other.clone(), clock)
            .await
            .expect("a socket");
        let one_runner = one_gossip.clone();
        let one_task = task::spawn(async move { one_runner.run().await });
        let other_runner = other_gossip.clone();
        let other_task = task::spawn(async move { other_runner.run().await });
        wait_until(|| one.lock().live_members() == 2 && other.lock().live_members() == 2).await;
        let name = SmolStr::new("other");
        assert_eq!(
            events.recv().await,
            Ok(Event::Joined { name: name.clone() })
        );

        let stranger = UdpSocket::bind("127.0.0.1:0").await.expect("a socket");
        for garbage in [&[0_u8; 900][..], &[255; 30], &[]] {
            let sent = stranger.send_to(garbage, one_addr).await;
            sent.expect("garbage is sent");
        }
        wait_until(|| one_gossip.totals().malformed >= 2).await;

        other_gossip.leave().await;
        wait_until(|| one.lock().live_members() == 1).await;
        assert_eq!(events.recv().await, Ok(Event::Left { name }));
        one_task.cancel().await;
        other_task.cancel().await;
    });
}
