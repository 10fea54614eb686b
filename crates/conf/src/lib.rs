//! The operators' configuration: source format, templates, validation and the compiled snapshot.
//!
//! An operator's [`source::Source`] is parsed from TOML and cut into the shards of a [`Config`], the form in
//! which daemons store and exchange it. A [`Compiler`] renders the templates for each customer, validates the
//! whole and compiles it into a [`Snapshot`] that the traffic threads read without locks.
//!
//! ```
//! let text = r#"
//! [[service]]
//! name = "sacristia"
//!
//! [[route]]
//! name = "stock"
//! prefix = "/stock"
//! service = "sacristia"
//! open = true
//! "#;
//! let source = conf::source::parse("fleet.toml", text).unwrap();
//! let snapshot = conf::compile(&source, 1).unwrap();
//! assert!(snapshot.match_route(None, "/stock/cirios", "GET").is_some());
//! ```

pub mod compile;
pub(crate) mod compiled_shard;
pub mod error;
pub mod key;
pub mod locate;
pub mod regions;
pub mod render;
pub mod shard;
pub mod snapshot;
pub mod source;
pub mod tree;
pub(crate) mod validate;

pub use compile::{Compiler, SnapshotParts, compile};
pub use error::ConfError;
pub use key::{KeyHash, KeyHasher};
pub use locate::locate_error;
pub use regions::AllowedRegions;
pub use shard::{Config, Digest, Tombstone};
pub use snapshot::{
    CallerLimits, Customer, Dedupe, Fleet, Key, Priority, RepeatPolicy, Route, Service, Snapshot,
    StaleKeyPolicy, WeightedService,
};
