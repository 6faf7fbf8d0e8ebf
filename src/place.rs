//! Where a process stands: its name, region and data centre.

use {
    derive_more::Display,
    serde::{Deserialize, Serialize},
    smol_str::SmolStr,
    std::net::{IpAddr, SocketAddr},
};

/// Name of a region.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Display, Serialize, Deserialize)]
pub struct Region(pub SmolStr);

/// Name of a data centre; unique over all regions.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Display, Serialize, Deserialize)]
pub struct DataCentre(pub SmolStr);

/// Place and addresses of one daemon, as others see them.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Place {
    /// Name of the daemon, unique at any time.
    pub name: SmolStr,
    /// Region that the daemon stands in.
    pub region: Region,
    /// Data centre that the daemon stands in.
    pub data_centre: DataCentre,
    /// Address on which other daemons send calls to it (capnp-rpc over TCP).
    pub call_addr: SocketAddr,
    /// Address on which other daemons gossip with it (UDP).
    pub gossip_addr: SocketAddr,
}

impl Place {
    /// IP number of the VM.
    pub fn vm(&self) -> IpAddr {
        self.call_addr.ip()
    }
}
