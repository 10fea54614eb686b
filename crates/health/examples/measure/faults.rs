//! The faults that are simulated and the sizes of the simulated services.

use rand::Rng;
use rand::rngs::SmallRng;

/// Index of the server that faults of a single server affect.
pub const FAULTY_SERVER: usize = 2;

/// What a fault does to one request at one server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RequestEffect {
    /// Takes its work time multiplied by the factor.
    Slow(f64),
    /// Fails after its work time.
    Error,
    /// Is never answered.
    Silent,
}

/// A fault that begins at some time of a run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    Nothing,
    /// The faulty server is slower by a factor for a share of its requests.
    Slow(f64, f64),
    /// The faulty server fails a share of its requests.
    Errors(f64),
    /// The faulty server answers nothing.
    Silent,
    /// All servers are slower by a factor.
    ServiceSlow(f64),
    /// Requests of the first customer are slower by a factor at all servers.
    SlowCustomer(f64),
    /// One daemon measures latencies that are too long by a factor.
    StarvedDaemon(f64),
}

impl Fault {
    /// Whether the faulty server is at fault, so that it should be ejected.
    pub fn is_server_fault(self) -> bool {
        matches!(self, Self::Slow(..) | Self::Errors(_) | Self::Silent)
    }

    /// Factor by which the latencies that a daemon measures are too long.
    pub fn lag(self, daemon: usize) -> f64 {
        match self {
            Self::StarvedDaemon(factor) if daemon == 0 => factor,
            _ => 1.0,
        }
    }

    /// What the fault does to a request of a customer at a server.
    pub fn effect_on_request(self, server: usize, customer: usize, rng: &mut SmallRng) -> RequestEffect {
        let is_faulty = server == FAULTY_SERVER;
        match self {
            Self::Slow(factor, share) if is_faulty && rng.random::<f64>() < share => {
                RequestEffect::Slow(factor)
            }
            Self::Errors(share) if is_faulty && rng.random::<f64>() < share => RequestEffect::Error,
            Self::Silent if is_faulty => RequestEffect::Silent,
            Self::ServiceSlow(factor) => RequestEffect::Slow(factor),
            Self::SlowCustomer(factor) if customer == 0 => RequestEffect::Slow(factor),
            _ => RequestEffect::Slow(1.0),
        }
    }
}

/// Faults for which the faulty server has to be ejected, by name.
pub const SERVER_FAULTS: [(&str, Fault); 6] = [
    ("slow-x3", Fault::Slow(3.0, 1.0)),
    ("slow-x10", Fault::Slow(10.0, 1.0)),
    ("slow-x10-for-30%", Fault::Slow(10.0, 0.3)),
    ("errors-100%", Fault::Errors(1.0)),
    ("errors-30%", Fault::Errors(0.3)),
    ("silent", Fault::Silent),
];

/// Faults for which no server may be ejected, by name.
pub const HARMLESS_FAULTS: [(&str, Fault); 4] = [
    ("nothing", Fault::Nothing),
    ("service-wide-slow-x1.5", Fault::ServiceSlow(1.5)),
    ("slow-customer-x3", Fault::SlowCustomer(3.0)),
    ("starved-daemon-x3", Fault::StarvedDaemon(3.0)),
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
