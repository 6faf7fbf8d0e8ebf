//! Broken replies of another daemon.

use {
    crate::harness::{Fleet, eventually, run},
    shallotdeal::mesh::{
        conn::{self, Conn},
        frame::{self, CallResult, GateLoad, Message, Reply},
        link::Outbox,
        runtime,
    },
    std::net::SocketAddr,
};

/// Answers each call on an address with this status and this length of the fields in the payload.
async fn reply_to_calls(addr: SocketAddr, status: u16, head_bytes: u32) {
    let listener = conn::listen(addr).unwrap();
    loop {
        let (stream, _) = listener.accept().await.unwrap();
        runtime::detach("stand-in daemon", async move {
            let mut conn = Conn::new(stream).unwrap();
            let io = conn.io();
            while let Ok(frame) = frame::read(&mut conn).await {
                let Message::Call(number, _) = frame.message else {
                    continue;
                };
                let reply = Reply {
                    result: CallResult::Answer {
                        status,
                        head_bytes,
                        not_run: false,
                    },
                    was_sent: true,
                    made_calls: false,
                    downstream_failed: false,
                    load: GateLoad::default(),
                    most_loaded: None,
                };
                let outbox = Outbox::default();
                outbox.push(&Message::Reply(number, reply), &[b"X: y\r\n", b"body"]);
                outbox.close();
                let _ = outbox.run(&io).await;
            }
        });
    }
}

/// Sends one order to a daemon whose only peer replies so, and returns the status and the body.
async fn order(status: u16, head_bytes: u32) -> (u16, String) {
    let fleet = Fleet::start(2).await;
    fleet.vms[0].report(true);
    let addr = fleet.vms[1].mesh.settings.calls_addr;
    fleet.vms[1].kill();
    eventually("free address", || conn::listen(addr).is_ok()).await;
    let _peer = runtime::spawn(reply_to_calls(addr, status, head_bytes));
    let response = fleet.request("POST", "/order/x", "id").await;
    (response.head.status, response.body)
}

#[test]
fn a_reply_is_forwarded_only_with_a_valid_status_and_length_of_its_fields() {
    run(async {
        assert_eq!(order(200, 6).await, (200, "body".into()));
        for (status, head_bytes) in [(0, 6), (99, 6), (101, 6), (199, 6), (600, 6), (200, 11)] {
            let (forwarded, _) = order(status, head_bytes).await;
            assert_eq!(forwarded, 502, "{status}, {head_bytes}");
        }
    });
}
