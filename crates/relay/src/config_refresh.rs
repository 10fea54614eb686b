//! Keeps the configuration current, along with the proof that it is the newest one.
//!
//! Two tasks do so, and neither waits for the other: [`config_exchange`](crate::config_exchange) takes newer
//! configurations from other daemons, and [`store_watch`](crate::store_watch) asks the store. What is in force
//! is decided in one place, [`Node::adopt_config`].

use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use base::Version;
use bytes::Bytes;
use conf::Snapshot;
use store::StoreError;

use crate::clock::BootTime;
use crate::node::Node;
use crate::operator_state::OperatorState;
use crate::{config_exchange, store_watch};

/// A configuration from the store or another daemon.
#[derive(Debug)]
pub struct FetchedConfig {
    /// Compiled form.
    pub snapshot: Snapshot,
    /// Encoded form as in the store, to be passed on to other daemons.
    pub raw: Bytes,
}

/// Reply to a query for a newer configuration.
#[derive(Debug)]
pub struct WatchReply {
    /// The newest configuration, unless it is the version that is already known.
    pub fetched: Option<FetchedConfig>,
    /// Time at which `fetched`, or else the known version, was the newest.
    pub proven_at: BootTime,
}

/// Decodes configurations.
pub trait ConfigDecoder {
    /// Decodes and compiles a configuration that another daemon has got from the store.
    ///
    /// # Errors
    /// Fails if the configuration is invalid.
    fn decode(&self, raw: Bytes) -> Result<FetchedConfig, StoreError>;
}

/// Source of configurations: the operators' store.
#[async_trait(?Send)]
pub trait ConfigSource {
    /// Waits up to `wait` for a configuration newer than `known`.
    ///
    /// # Errors
    /// Fails if the store doesn't answer, its answer is older than an earlier one, or its configuration can't be
    /// decoded.
    async fn watch(&mut self, known: Version, wait: Duration) -> Result<WatchReply, StoreError>;

    /// What operators ask of the fleet apart from its configuration, if the last answer told it. It holds even if the
    /// answer's configuration can't be used.
    fn take_operator_state(&mut self) -> Option<OperatorState>;

    /// Decoder of the configurations of this source.
    fn decoder(&self) -> Box<dyn ConfigDecoder>;
}

/// Keeps the configuration of `node` current until the daemon ends.
pub async fn refresh_config(node: Rc<Node>, source: impl ConfigSource) {
    let decoder = source.decoder();
    tokio::join!(config_exchange::follow_daemons(&node, &*decoder), store_watch::watch_store(&node, source));
}
