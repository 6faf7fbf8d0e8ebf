//! State of the process, for operators.

use {
    crate::{
        directory::FleetDirectory,
        fleet::{Fleet, udp::Gossip},
        node::Node,
        operators::Describe,
    },
    parking_lot::Mutex,
    serde_json::{Value, json},
    std::sync::Arc,
};

/// Parts whose state the dump contains.
pub struct Dump {
    /// Shared state.
    pub node: Arc<Node>,
    /// View of the fleet.
    pub fleet: Arc<Mutex<Fleet>>,
    /// Choice of workers.
    pub directory: Arc<FleetDirectory>,
    /// Gossip socket.
    pub gossip: Gossip,
}

impl Describe for Dump {
    fn describe(&self) -> Value {
        let node = &self.node;
        let now = node.now();
        let config = node.config();
        let fleet = self.fleet.lock().report(now.us);
        let local = node.local.lock();
        json!({
            "place": node.settings.place,
            "policy": node.settings.policy.to_string(),
            "now_unix_ms": now.unix_ms,
            "configuration": {
                "revision": config.revision,
                "is_settled": node.live_config.may_serve(),
                "services": config.services.len(),
                "classes": config.classes,
                "rules": config.rules,
                "orders": config.orders,
            },
            "worker": local.worker,
            "gate": local.gate.report(now.us),
            "orders": local.dedup.report(),
            "drain": local.drain.report(),
            "suspects": local.suspects.list(now.unix_ms),
            "accounts": local.token_pools.len(),
            "running": local.running.len(),
            "fleet": fleet,
            "routes": self.directory.report(),
            "gossip": self.gossip.totals(),
            "counters": node.metrics.snapshot(),
        })
    }
}
