//! Location of a daemon: its name, region, data centre and addresses.

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

/// Location and addresses of one daemon, as published to the others.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Place {
    /// Name of the daemon, unique at any time.
    pub name: SmolStr,
    /// Region of the daemon.
    pub region: Region,
    /// Data centre of the daemon.
    pub data_centre: DataCentre,
    /// Address on which other daemons send calls to it (capnp-rpc over TCP).
    pub call_addr: SocketAddr,
    /// Address on which other daemons gossip with it (UDP).
    pub gossip_addr: SocketAddr,
}

impl Place {
    /// IP address of the VM.
    pub fn vm(&self) -> IpAddr {
        self.call_addr.ip()
    }
}
