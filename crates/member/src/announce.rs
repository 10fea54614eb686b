//! Parses and validates the announcements of backend servers.

use std::net::SocketAddr;

use base::{Place, ServerId, ServiceId};
use derive_more::{Display, Error};
use serde::Deserialize;
use wire::server::{ServerInfo, ServerState};

/// Longest name of a server, a service, a region or a data centre.
const MAX_NAME_BYTES: usize = 64;
/// Largest number of slots or of connections of one server.
const MAX_COUNT: u32 = 1_000_000;

/// JSON body of an announcement.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Announcement {
    service: ServiceId,
    addr: SocketAddr,
    place: Place,
    slots: u32,
    connections: u32,
    #[serde(default)]
    load: f32,
    state: ServerState,
}

/// Why an announcement was refused.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum AnnounceError {
    /// The body is not a JSON object with the expected fields.
    #[display("{problem}; send exactly service, addr, place, slots, connections, load and state")]
    Malformed {
        /// Error of the JSON decoder.
        problem: Box<str>,
    },
    /// A name is empty, too long or contains a character that is not allowed.
    #[display("{field} has {bytes} bytes or other characters; use 1 to 64 of a-z, A-Z, 0-9, '.', '_', '-'")]
    Name {
        /// Field of the announcement.
        field: &'static str,
        /// Length of the refused name.
        bytes: usize,
    },
    /// The address is unspecified or multicast, or its port is 0.
    #[display("addr {addr} can't be connected to; announce the server's own IP address and port")]
    Address {
        /// The refused address.
        addr: SocketAddr,
    },
    /// A count is zero or too large.
    #[display("{field} is {count}; announce a number from 1 to 1000000")]
    Count {
        /// Field of the announcement.
        field: &'static str,
        /// The refused count.
        count: u32,
    },
    /// The load is not a share of the slots.
    #[display("load is not between 0 and 1; announce the used share of the slots")]
    Load,
}

impl AnnounceError {
    /// Stable code, used in API answers and as a metric label.
    pub const fn code(&self) -> &'static str {
        match self {
            Self::Malformed { .. } => "bad-announcement",
            Self::Name { .. } => "bad-name",
            Self::Address { .. } => "bad-address",
            Self::Count { .. } => "bad-count",
            Self::Load => "bad-load",
        }
    }
}

/// Parses and validates the announcement of server `id`; the registry sets its stamp and time to live.
///
/// # Errors
/// Fails on the first field with an invalid value.
pub fn parse_announcement(id: &str, body: &[u8]) -> Result<ServerInfo, AnnounceError> {
    let body: Announcement = serde_json::from_slice(body)
        .map_err(|e| AnnounceError::Malformed { problem: e.to_string().into() })?;
    check_name("id", id)?;
    check_name("service", &body.service)?;
    check_name("place.region", &body.place.region)?;
    check_name("place.data_centre", &body.place.data_centre)?;
    check_count("slots", body.slots)?;
    check_count("connections", body.connections)?;
    if body.addr.ip().is_unspecified() || body.addr.ip().is_multicast() || body.addr.port() == 0 {
        return Err(AnnounceError::Address { addr: body.addr });
    }
    if !(0.0..=1.0).contains(&body.load) {
        return Err(AnnounceError::Load);
    }
    Ok(ServerInfo {
        id: ServerId::from(id),
        service: body.service,
        addr: body.addr,
        place: body.place,
        slots: body.slots,
        connections: body.connections,
        load: body.load,
        state: body.state,
        stamp: 0,
        ttl_ms: 0,
    })
}

fn check_name(field: &'static str, name: &str) -> Result<(), AnnounceError> {
    let is_plain = |b: u8| b.is_ascii_alphanumeric() || b"._-".contains(&b);
    let is_good = (1..=MAX_NAME_BYTES).contains(&name.len()) && name.bytes().all(is_plain);
    if is_good { Ok(()) } else { Err(AnnounceError::Name { field, bytes: name.len() }) }
}

fn check_count(field: &'static str, count: u32) -> Result<(), AnnounceError> {
    if (1..=MAX_COUNT).contains(&count) { Ok(()) } else { Err(AnnounceError::Count { field, count }) }
}
