//! Aliases for identifiers, and the location of an instance.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Name of a customer, unique in the fleet.
pub type CustomerId = Box<str>;
/// Name of a service, unique in the fleet.
pub type ServiceId = Box<str>;
/// Name of a backend server, unique in the fleet.
pub type ServerId = Box<str>;
/// Name of a route, unique in the fleet.
pub type RouteId = Box<str>;
/// Name of a data centre.
pub type DataCentre = Box<str>;
/// Name of a region.
pub type Region = Box<str>;
/// Peer address of a daemon (UDP and TCP). A daemon that restarts on the same address keeps its id.
pub type DaemonId = SocketAddr;
/// Number of a committed configuration; grows by one with each committed change.
pub type Version = u64;
/// Random id of one change, by which a daemon finds out whether a write without an answer took effect.
pub type ChangeId = u128;

/// Location of an instance.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Place {
    /// Region of the data centre.
    pub region: Region,
    /// Data centre of the instance.
    pub data_centre: DataCentre,
}

impl Place {
    /// Makes a place from the names of its region and data centre.
    pub fn new(region: &str, data_centre: &str) -> Self {
        Self { region: region.into(), data_centre: data_centre.into() }
    }
}
