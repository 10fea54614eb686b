//! The troubles that are simulated and the sizes of the simulated services.

use rand::Rng;
use rand::rngs::SmallRng;

/// Index of the server that is sick in troubles of one server.
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

/// A trouble that begins at some time of a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Trouble {
    Nothing,
    /// The sick server is slower by a factor for a share of its requests.
    Slow(f64, f64),
    /// The sick server fails a share of its requests.
    Errors(f64),
    /// The sick server answers nothing.
    Silent,
    /// All servers are slower by a factor.
    ServiceSlow(f64),
    /// Requests of the first customer are slower by a factor at all servers.
    SlowCustomer(f64),
    /// One daemon measures latencies that are too long by a factor.
    StarvedDaemon(f64),
}

impl Trouble {
    /// Whether the sick server is at fault, so that it should be ejected.
    pub fn is_servers_own(self) -> bool {
        matches!(self, Self::Slow(..) | Self::Errors(_) | Self::Silent)
    }

    /// Factor by which the latencies that a daemon measures are too long.
    pub fn lag(self, daemon: usize) -> f64 {
        match self {
            Self::StarvedDaemon(factor) if daemon == 0 => factor,
            _ => 1.0,
        }
    }

    /// What happens to a request of a customer at a server.
    pub fn fate(self, server: usize, customer: usize, rng: &mut SmallRng) -> Fate {
        let sick = server == SICK;
        match self {
            Self::Slow(factor, share) if sick && rng.random::<f64>() < share => Fate::Slow(factor),
            Self::Errors(share) if sick && rng.random::<f64>() < share => Fate::Error,
            Self::Silent if sick => Fate::Silent,
            Self::ServiceSlow(factor) => Fate::Slow(factor),
            Self::SlowCustomer(factor) if customer == 0 => Fate::Slow(factor),
            _ => Fate::Slow(1.0),
        }
    }
}

/// Troubles for which the sick server has to be ejected, by name.
pub const SICK_MODES: [(&str, Trouble); 6] = [
    ("slow-x3", Trouble::Slow(3.0, 1.0)),
    ("slow-x10", Trouble::Slow(10.0, 1.0)),
    ("slow-x10-for-30%", Trouble::Slow(10.0, 0.3)),
    ("errors-100%", Trouble::Errors(1.0)),
    ("errors-30%", Trouble::Errors(0.3)),
    ("silent", Trouble::Silent),
];

/// Troubles for which no server may be ejected, by name.
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

/// The largest services of the two fleets.
pub const SITES: [Site; 2] =
    [Site { name: "quesada", servers: 26, slots: 6 }, Site { name: "farolitos", servers: 20, slots: 7 }];
