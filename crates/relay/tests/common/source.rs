//! Source of the daemons' configuration, which turns some of them away or doesn't answer them.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use base::{DataCentre, StoreStamp, Version};
use bytes::Bytes;
use conf::{KeyHasher, Snapshot};
use relay::clock::BootTime;
use relay::config_refresh::{ConfigDecoder, ConfigSource, FetchedConfig, WatchReply};
use relay::operator_state::OperatorState;
use store::StoreError;
use tokio::time::sleep;

/// Time after which a query of the source fails that gets no answer.
pub const QUERY_TIMEOUT: Duration = Duration::from_secs(2);

/// Makes a configuration, with keys hashed by a daemon's hasher.
pub type MakeSnapshot = fn(&KeyHasher) -> Snapshot;

/// Source of the configuration for all daemons of a test.
#[derive(Debug)]
pub struct Source {
    /// Makes the newest configuration, with keys hashed by the daemon's hasher.
    pub make_snapshot: Cell<MakeSnapshot>,
    /// Makers of all configurations that daemons have got, by version.
    pub made: RefCell<HashMap<Version, MakeSnapshot>>,
    /// Data centres to be evacuated.
    pub evacuated: RefCell<BTreeSet<DataCentre>>,
    /// Number of answers; the version of the store at the last one.
    pub answers: Cell<Version>,
    /// Whether the source answers.
    pub is_up: Cell<bool>,
    /// Incarnation of a daemon that the source doesn't answer.
    pub partitioned: Cell<Option<u64>>,
    /// Incarnations of daemons that the source turns away at once.
    pub turned_away: RefCell<HashSet<u64>>,
    /// Incarnations of daemons whose queries end without an answer, after [`QUERY_TIMEOUT`].
    pub unanswered: RefCell<HashSet<u64>>,
}

/// Access of one daemon to the source.
pub struct SourceClient {
    /// Incarnation of the daemon.
    pub incarnation: u64,
    /// The source.
    pub source: Rc<Source>,
    /// Hashes the keys for the daemon.
    pub hasher: KeyHasher,
    /// What the last answer told of evacuations.
    pub operator_state: Option<OperatorState>,
}

#[async_trait(?Send)]
impl ConfigSource for SourceClient {
    async fn watch(&mut self, known: Version, _wait: Duration) -> Result<WatchReply, StoreError> {
        let asked_at = BootTime::now();
        sleep(Duration::from_millis(20)).await;
        if self.source.unanswered.borrow().contains(&self.incarnation) {
            sleep(QUERY_TIMEOUT).await;
            return Err(StoreError::Ambiguous);
        }
        if self.source.turned_away.borrow().contains(&self.incarnation) {
            return Err(StoreError::Down);
        }
        if !self.source.is_up.get() || self.source.partitioned.get() == Some(self.incarnation) {
            return Err(StoreError::Down);
        }
        let snapshot = (self.source.make_snapshot.get())(&self.hasher);
        if snapshot.version < known {
            return Err(StoreError::Refused { problem: "the source is behind".into() });
        }
        self.source.made.borrow_mut().insert(snapshot.version, self.source.make_snapshot.get());
        let raw = Bytes::from(snapshot.version.to_string());
        let fetched = (snapshot.version > known).then_some(FetchedConfig { snapshot, raw });
        self.source.answers.set(self.source.answers.get() + 1);
        let stamp = StoreStamp { era: 0, version: self.source.answers.get() };
        let evacuated = self.source.evacuated.borrow().clone();
        self.operator_state = Some(OperatorState { stamp, evacuated });
        Ok(WatchReply { fetched, proven_at: asked_at })
    }

    fn take_operator_state(&mut self) -> Option<OperatorState> {
        self.operator_state.take()
    }

    fn decoder(&self) -> Box<dyn ConfigDecoder> {
        Box::new(SourceDecoder { source: Rc::clone(&self.source), hasher: self.hasher.clone() })
    }
}

struct SourceDecoder {
    source: Rc<Source>,
    hasher: KeyHasher,
}

impl ConfigDecoder for SourceDecoder {
    fn decode(&self, raw: Bytes) -> Result<FetchedConfig, StoreError> {
        let version: Version = String::from_utf8_lossy(&raw).parse().expect("a version");
        let made = self.source.made.borrow();
        let make_snapshot = made.get(&version).expect("the source has made the configuration");
        Ok(FetchedConfig { snapshot: make_snapshot(&self.hasher), raw })
    }
}
