//! Operations on the world, which a test may perform in any order.

use std::time::Duration;

/// Number of a daemon, counted from 0.
pub type DaemonIndex = usize;
/// Number of a backend server, counted from 0.
pub type ServerIndex = usize;
/// Number of a customer, counted from 0.
pub type CustomerIndex = usize;

/// One operation. Numbers beyond the last daemon, server or customer wrap around.
#[derive(Clone, Debug, PartialEq)]
pub enum Op {
    /// Time passes, while callers send requests and servers announce themselves.
    Run(Duration),
    /// An operator applies a changed configuration at a daemon.
    ApplyConfig(DaemonIndex),
    /// An operator gives a customer a new key, by a call to a daemon.
    GiveKey(DaemonIndex, CustomerIndex),
    /// An operator withdraws a customer's oldest key, by a call to a daemon, unless it is the only one.
    WithdrawKey(DaemonIndex, CustomerIndex),
    /// A server announces that it is draining.
    Drain(ServerIndex),
    /// A draining server announces that it is ready again.
    EndDrain(ServerIndex),
    /// A server starts to fail every request, while it still announces that it is ready.
    FailServer(ServerIndex),
    /// A failing server recovers.
    RecoverServer(ServerIndex),
    /// Messages from the first daemon to the second are lost.
    CutLinkOneWay(DaemonIndex, DaemonIndex),
    /// Messages between two daemons are lost in both directions.
    CutLink(DaemonIndex, DaemonIndex),
    /// The second region loses its connection to the first region and to the store.
    CutRegion,
    /// All links between daemons and to the store work again.
    HealLinks,
    /// A daemon is suspended, as by SIGSTOP.
    Pause(DaemonIndex),
    /// A suspended daemon is resumed.
    Resume(DaemonIndex),
    /// A daemon ends at once, as by SIGKILL.
    Crash(DaemonIndex),
    /// A daemon is told to stop gracefully.
    Stop(DaemonIndex),
    /// A crashed or stopped daemon starts again at its old address.
    Restart(DaemonIndex),
    /// The store fails every call.
    StoreDown,
    /// The store executes writes, but loses the answers to half of them.
    StoreLosesAnswers,
    /// The store works again.
    StoreRecovers,
    /// A customer starts (`true`) or stops (`false`) to send many times its rate.
    ExceedRate(CustomerIndex, bool),
}
