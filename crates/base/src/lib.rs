//! Types shared by all crates: ids, refusal and retry reasons, numbered log events.
//!
//! ```
//! use base::{Executed, Refusal};
//!
//! let refusal = Refusal::OverRate;
//! assert_eq!(refusal.status(), 429);
//! assert_eq!(refusal.executed(), Executed::No);
//! ```

pub mod event;
pub mod id;
pub mod refusal;
pub mod rendezvous;
pub mod retry;
pub mod stamp;

pub use event::Event;
pub use id::{
    ChangeId, CustomerId, DaemonId, DataCentre, Place, Region, RouteId, ServerId, ServiceId, Version,
};
pub use refusal::{Executed, Refusal};
pub use retry::RetryReason;
pub use stamp::StoreStamp;
