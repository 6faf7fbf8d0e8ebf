//! Keys, versions and leases of a key-value service, without I/O.

use {
    crate::{
        collections::HashMap,
        store::{Entry, LeaseId, Swap, Version},
    },
    smol_str::SmolStr,
    std::collections::BTreeMap,
};

/// Largest value that the service accepts.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

const US_PER_MS: u64 = 1_000;

/// State of a key-value service. All keys share one version counter, so no version is ever reused.
#[derive(Debug, Clone, Default)]
pub struct Table {
    last_version: u64,
    last_lease: u64,
    rows: BTreeMap<SmolStr, Row>,
    leases: HashMap<LeaseId, Lease>,
}

#[derive(Debug, Clone)]
struct Row {
    version: Version,
    value: Vec<u8>,
    lease: Option<LeaseId>,
}

#[derive(Debug, Clone, Copy)]
struct Lease {
    ttl_us: u64,
    expires_at_us: u64,
}

impl Table {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Reads one key.
    pub fn get(&mut self, key: &str, now_us: u64) -> Option<Entry> {
        self.expire_leases(now_us);
        self.entry(key)
    }

    /// Reads all keys that begin with `prefix`.
    pub fn list(&mut self, prefix: &str, now_us: u64) -> Vec<Entry> {
        self.expire_leases(now_us);
        self.rows
            .range(SmolStr::new(prefix)..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(key, row)| row.entry(key))
            .collect()
    }

    /// Writes `value` if the key has the version `expected`; `None` if the lease has expired.
    pub fn swap(
        &mut self,
        key: &str,
        expected: Version,
        value: Vec<u8>,
        lease: Option<LeaseId>,
        now_us: u64,
    ) -> Option<Swap> {
        self.expire_leases(now_us);
        if lease.is_some_and(|lease| !self.leases.contains_key(&lease)) {
            return None;
        }
        if self.version(key) != expected {
            return Some(Swap::Conflict(self.entry(key)));
        }
        let version = self.next_version();
        let row = Row {
            version,
            value,
            lease,
        };
        self.rows.insert(SmolStr::new(key), row);
        Some(Swap::Applied(version))
    }

    /// Removes the key if it has the version `expected`.
    pub fn remove(&mut self, key: &str, expected: Version, now_us: u64) -> Swap {
        self.expire_leases(now_us);
        if self.version(key) != expected {
            return Swap::Conflict(self.entry(key));
        }
        self.rows.remove(key);
        Swap::Applied(self.next_version())
    }

    /// Grants a lease.
    pub fn grant(&mut self, ttl_ms: u32, now_us: u64) -> LeaseId {
        self.last_lease += 1;
        let id = LeaseId(self.last_lease);
        let lease = Lease::new(u64::from(ttl_ms) * US_PER_MS, now_us);
        self.leases.insert(id, lease);
        id
    }

    /// Renews a lease; `false` if it has expired.
    pub fn renew(&mut self, id: LeaseId, now_us: u64) -> bool {
        self.expire_leases(now_us);
        let Some(lease) = self.leases.get_mut(&id) else {
            return false;
        };
        *lease = Lease::new(lease.ttl_us, now_us);
        true
    }

    /// Removes expired leases and the keys that are bound to them.
    fn expire_leases(&mut self, now_us: u64) {
        let count = self.leases.len();
        self.leases.retain(|_, lease| lease.expires_at_us > now_us);
        if self.leases.len() == count {
            return;
        }
        let leases = &self.leases;
        self.rows
            .retain(|_, row| row.lease.is_none_or(|lease| leases.contains_key(&lease)));
    }

    fn version(&self, key: &str) -> Version {
        self.rows
            .get(key)
            .map_or(Version::ABSENT, |row| row.version)
    }

    fn entry(&self, key: &str) -> Option<Entry> {
        self.rows.get(key).map(|row| row.entry(key))
    }

    fn next_version(&mut self) -> Version {
        self.last_version += 1;
        Version(self.last_version)
    }
}

impl Lease {
    fn new(ttl_us: u64, now_us: u64) -> Self {
        Self {
            ttl_us,
            expires_at_us: now_us.saturating_add(ttl_us),
        }
    }
}

impl Row {
    fn entry(&self, key: &str) -> Entry {
        Entry {
            key: SmolStr::new(key),
            version: self.version,
            value: self.value.clone(),
        }
    }
}
