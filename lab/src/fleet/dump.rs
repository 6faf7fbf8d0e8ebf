//! Access to the fleet's state in the dumps of daemons.

use serde_json::Value;

/// Dumps of all daemons, fetched concurrently; `None` for a daemon that did not answer.
pub(super) type Dumps = Vec<Option<Dump>>;

/// Dump of one daemon.
#[derive(Debug, Clone)]
pub(super) struct Dump(pub(super) Value);

/// One member of the data centre in a daemon's dump.
#[derive(Debug, Clone, Copy)]
pub(super) struct Member<'s>(&'s Value);

impl Dump {
    pub(super) fn revision(&self) -> u64 {
        self.0["configuration"]["revision"].as_u64().unwrap_or(0)
    }

    pub(super) fn gossip_total(&self, total: &str) -> u64 {
        self.0["gossip"][total].as_u64().unwrap_or(0)
    }

    /// Number of other data centres that the daemon knows.
    pub(super) fn other_data_centre_count(&self) -> usize {
        self.0["fleet"]["centres"]
            .as_object()
            .map_or(0, serde_json::Map::len)
    }

    /// Number of other members that are alive and have a worker.
    pub(super) fn peer_worker_count(&self) -> usize {
        let members = self.0["fleet"]["members"].as_object();
        let members = members.into_iter().flat_map(serde_json::Map::values);
        members.filter(|it| Member(it).has_worker()).count()
    }

    pub(super) fn has_offers(&self, service: &str) -> bool {
        let offers = self.0["fleet"]["offers"][service].as_array();
        offers.is_some_and(|offers| !offers.is_empty())
    }

    pub(super) fn member(&self, name: &str) -> Option<Member<'_>> {
        self.0["fleet"]["members"].get(name).map(Member)
    }
}

impl Member<'_> {
    pub(super) fn is_alive(self) -> bool {
        self.0["member"]["status"] == "Alive"
    }

    pub(super) fn is_dead(self) -> bool {
        self.0["member"]["status"] == "Dead"
    }

    pub(super) fn has_worker(self) -> bool {
        self.is_alive() && self.0["member"]["worker"].is_object()
    }

    pub(super) fn is_draining(self) -> bool {
        self.0["member"]["worker"]["draining"] == true
    }
}
