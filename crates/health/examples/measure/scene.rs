//! What goes wrong, and how large the fleet is.

use rand::Rng;
use rand::rngs::SmallRng;

/// Server that is sick.
pub const SICK: usize = 2;

/// What happens to one request at one server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fate {
    /// Takes its work time multiplied by the factor.
    Slow(f64),
    /// Fails after its work time.
    Error,
    /// Is never answered.
    Silent,
}

/// A trouble; the numbers are factors and shares.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Trouble {
    Nothing,
    Slow(f64, f64),
    Errors(f64),
    Silent,
    ServiceSlow(f64),
    SlowCustomer(f64),
    StarvedDaemon(f64),
}

impl Trouble {
    /// Whether one server is at fault.
    pub fn is_servers_own(self) -> bool {
        matches!(self, Self::Slow(..) | Self::Errors(_) | Self::Silent)
    }

    /// Fate of a request.
    pub fn fate(self, server: usize, daemon: usize, customer: usize, rng: &mut SmallRng) -> Fate {
        let sick = server == SICK;
        match self {
            Self::Slow(factor, share) if sick && rng.random::<f64>() < share => Fate::Slow(factor),
            Self::Errors(share) if sick && rng.random::<f64>() < share => Fate::Error,
            Self::Silent if sick => Fate::Silent,
            Self::ServiceSlow(factor) => Fate::Slow(factor),
            Self::SlowCustomer(factor) if customer == 0 => Fate::Slow(factor),
            Self::StarvedDaemon(factor) if daemon == 0 => Fate::Slow(factor),
            _ => Fate::Slow(1.0),
        }
    }
}

/// Troubles that have to be found, by name.
pub const SICK_MODES: [(&str, Trouble); 6] = [
    ("slow-x3", Trouble::Slow(3.0, 1.0)),
    ("slow-x10", Trouble::Slow(10.0, 1.0)),
    ("slow-x10-for-30%", Trouble::Slow(10.0, 0.3)),
    ("errors-100%", Trouble::Errors(1.0)),
    ("errors-30%", Trouble::Errors(0.3)),
    ("silent", Trouble::Silent),
];

/// Troubles that must not eject, by name.
pub const WELL_MODES: [(&str, Trouble); 4] = [
    ("nothing", Trouble::Nothing),
    ("service-wide-slow-x1.5", Trouble::ServiceSlow(1.5)),
    ("slow-customer-x3", Trouble::SlowCustomer(3.0)),
    ("starved-daemon-x3", Trouble::StarvedDaemon(3.0)),
];

/// Size of a service.
#[derive(Clone, Copy, Debug)]
pub struct Site {
    pub name: &'static str,
    pub servers: usize,
    pub slots: u32,
}

/// The two users' largest services.
pub const SITES: [Site; 2] =
    [Site { name: "quesada", servers: 26, slots: 6 }, Site { name: "farolitos", servers: 20, slots: 7 }];
