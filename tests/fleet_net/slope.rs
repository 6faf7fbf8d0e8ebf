//! Cost of membership for one daemon as a function of the fleet's size.

use {
    super::{Net, centre},
    rand::Rng,
    shallotdeal::request::Level,
    std::time::Duration,
};

const SECOND_US: u64 = 1_000_000;

/// Mean cost per daemon, per second where the unit says so.
#[derive(Debug, Clone, Copy)]
pub struct Slope {
    pub members: usize,
    pub sent_bytes_per_s: f64,
    pub received_bytes_per_s: f64,
    /// Bytes per second sent by the busiest daemon.
    pub max_sent_bytes_per_s: f64,
    pub messages_per_s: f64,
    pub cross_centre_bytes_per_s: f64,
    pub cpu_us_per_s: f64,
    /// Size of one daemon's dump as JSON.
    pub state_bytes: usize,
}

/// Measures one data centre whose workers change their load every second and their level every ten
/// seconds on average.
pub fn fleet_slope(members: usize) -> Slope {
    let mut net = centre(7, members);
    net.run(20 * SECOND_US);
    measure(&mut net, 30)
}

/// Advances virtual time by `seconds` under changing load and measures the cost over that time.
pub fn measure(net: &mut Net, seconds: u64) -> Slope {
    for node in &mut net.nodes {
        node.sent_bytes = 0;
        node.received_bytes = 0;
        node.sent_messages = 0;
        node.cross_centre_bytes = 0;
        node.cpu = Duration::ZERO;
    }
    for _ in 0..seconds {
        change_loads(net);
        net.run(SECOND_US);
    }
    let share = 1.0 / (seconds as f64 * net.nodes.len() as f64);
    let sum = |of: fn(&super::Node) -> f64| net.nodes.iter().map(of).sum::<f64>() * share;
    let max_sent = net.nodes.iter().map(|node| node.sent_bytes).max();
    let report = net.nodes[0].fleet.report(net.now_us);
    let state = serde_json::to_vec(&report).expect("a report can be written");
    Slope {
        members: net.nodes.len(),
        sent_bytes_per_s: sum(|node| node.sent_bytes as f64),
        received_bytes_per_s: sum(|node| node.received_bytes as f64),
        max_sent_bytes_per_s: max_sent.unwrap_or(0) as f64 / seconds as f64,
        messages_per_s: sum(|node| node.sent_messages as f64),
        cross_centre_bytes_per_s: sum(|node| node.cross_centre_bytes as f64),
        cpu_us_per_s: sum(|node| node.cpu.as_micros() as f64),
        state_bytes: state.len(),
    }
}

/// Gives each worker a random load, and one in ten also a random level.
fn change_loads(net: &mut Net) {
    for at in 0..net.nodes.len() {
        let draw = net.rng.next_u64();
        let fleet = &mut net.nodes[at].fleet;
        let Some(mut worker) = fleet.local_member().worker.clone() else {
            continue;
        };
        worker.load = (draw % 100) as u16;
        if draw.is_multiple_of(10) {
            worker.level = Level((draw >> 32) as u32 % 2_048);
        }
        fleet.set_worker(Some(worker));
    }
}
