//! What may happen to the world, in any order.

use std::time::Duration;

/// Number of a daemon.
pub type Daemon = usize;
/// Number of a backend server.
pub type Server = usize;
/// Number of a customer.
pub type Customer = usize;

/// One thing that happens.
#[derive(Clone, Debug, PartialEq)]
pub enum Op {
    /// Time passes; callers and servers go on.
    Run(Duration),
    /// An operator applies a changed configuration at a daemon.
    Apply(Daemon),
    /// An operator gives a customer a new key.
    GiveKey(Daemon, Customer),
    /// An operator withdraws a customer's oldest key.
    WithdrawKey(Daemon, Customer),
    /// A server starts to drain.
    Drain(Server),
    /// A drained server returns.
    Return(Server),
    /// A server fails every request, and claims to be well.
    Sicken(Server),
    /// A sick server recovers.
    Cure(Server),
    /// Messages from one daemon to another are lost.
    CutOneWay(Daemon, Daemon),
    /// Messages between two daemons are lost.
    Cut(Daemon, Daemon),
    /// The second region is cut off the first and off the store.
    CutRegion,
    /// All cuts end.
    Heal,
    /// A daemon is held still.
    Pause(Daemon),
    /// A held daemon goes on.
    Resume(Daemon),
    /// A daemon ends without a word.
    Crash(Daemon),
    /// A daemon is told to stop.
    Stop(Daemon),
    /// A crashed or stopped daemon starts on its address.
    Restart(Daemon),
    /// The store stops answering.
    StoreDown,
    /// The store loses a share of its answers after the writes took effect.
    StoreLosesAnswers,
    /// The store works again.
    StoreUp,
    /// A customer sends many times its rate from now on, or stops doing so.
    Greed(Customer, bool),
}
