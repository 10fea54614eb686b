//! The blackboard of the control kernel: facts that one area writes and all areas read.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::time::Instant;

use base::{DaemonId, Place, ServerId, Version};
use conf::{KeyHash, Snapshot};
use wire::member::MemberState;
use wire::server::ServerInfo;

/// Description of the daemon in which the kernel runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LocalDaemon {
    /// Peer address.
    pub id: DaemonId,
    /// Address of the operator API.
    pub api: DaemonId,
    /// Region and data centre.
    pub place: Place,
    /// Start time of the process, milliseconds since the epoch.
    pub incarnation: u64,
}

impl LocalDaemon {
    /// Makes the description of this daemon.
    pub fn new(id: DaemonId, api: DaemonId, region: &str, data_centre: &str, incarnation: u64) -> Self {
        Self { id, api, place: Place::new(region, data_centre), incarnation }
    }
}

/// Another daemon, as this daemon knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Peer address.
    pub id: DaemonId,
    /// Address of the operator API.
    pub api: DaemonId,
    /// Region and data centre.
    pub place: Place,
    /// Start time of its process, milliseconds since the epoch.
    pub incarnation: u64,
    /// Believed state.
    pub state: MemberState,
    /// Whether the store does not answer the member, as of its last heartbeat.
    pub store_down: bool,
    /// Configuration version in force at the member, as of its last heartbeat.
    pub version: Version,
}

impl Member {
    /// Whether the member is believed to run; suspected members count as alive.
    pub fn is_alive(&self) -> bool {
        matches!(self.state, MemberState::Alive | MemberState::Suspect)
    }
}

/// An announced backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerEntry {
    /// Last announcement.
    pub info: ServerInfo,
    /// When the announcement expires.
    pub expires_at: Instant,
    /// When the server was first seen ready; the cold-start ramp counts from here.
    pub ready_since: Option<Instant>,
}

/// What the health area decided about a server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Verdict {
    /// Share of its normal load that the server may get, 0 to 1. Only an ejection list (see
    /// [`wire::health`]) sets it to 0.
    pub weight: f32,
    /// Whether the server may get idempotent requests as trials.
    pub trial: bool,
    /// When the verdict expires; the server then counts as healthy.
    pub expires_at: Instant,
}

/// Facts shared between areas. Each field is written by the one area that its comment names.
#[derive(Debug)]
pub struct Board {
    /// This daemon. Never changes.
    pub me: LocalDaemon,
    /// Other daemons by id, dead ones excluded. Written by membership.
    pub members: BTreeMap<DaemonId, Member>,
    /// Daemons that failed without leaving, with their places. They count towards the size of a majority
    /// until they return or their row is deleted from the store. Written by membership.
    pub dead_members: BTreeMap<DaemonId, Place>,
    /// Number of the last change that each member made to its server set (see [`wire::server`]), as of its
    /// last heartbeat. Written by membership.
    pub server_set_seqs: BTreeMap<DaemonId, u32>,
    /// Number of the last change that this daemon made to its own server set. Never falls. Written by the
    /// server registry.
    pub server_set_seq: u32,
    /// Announced servers; those that stopped or whose announcement expired are excluded. Written by the
    /// server registry.
    pub servers: BTreeMap<ServerId, ServerEntry>,
    /// Configuration in force. Its version never falls. Written by configuration.
    pub conf: Option<Arc<Snapshot>>,
    /// Withdrawn keys that `conf` does not list as withdrawn yet. A key is removed from this set only when
    /// a `conf` that lists it is adopted. Written by configuration.
    pub withdrawn: Arc<HashSet<KeyHash>>,
    /// Digest over `withdrawn`; daemons compare it when they pull view statuses (see [`wire::fresh`]).
    /// Written by configuration.
    pub withdrawn_digest: u64,
    /// Verdicts by server; a server without a verdict has full weight. Written by health.
    pub verdicts: HashMap<ServerId, Verdict>,
    /// Until when this daemon's view counts as current; `None` if it never was. Written by freshness.
    pub current_until: Option<Instant>,
    /// Highest configuration version known to be committed, whether it is in force here or not. Never
    /// falls. Written by configuration, which handles each event before freshness does.
    pub head_seen: Version,
    /// Whether the store does not answer this daemon. Written by freshness.
    pub store_down: bool,
    /// Version of the row `fleet/shares` of the store that this daemon knows. Written by rate limiting.
    pub shares_version: Version,
    /// Whether this daemon may confirm `shares_version` to other daemons. Written by rate limiting.
    pub shares_known: bool,
    /// Holders of rate shares as of `shares_version`, sorted. Written by rate limiting.
    pub holders: Arc<[DaemonId]>,
    /// Whether the daemon is stopping. Written by the kernel.
    pub stopping: bool,
}

impl Board {
    /// Makes the board of a daemon that has just started.
    pub fn new(me: LocalDaemon) -> Self {
        Self {
            me,
            members: BTreeMap::new(),
            dead_members: BTreeMap::new(),
            server_set_seqs: BTreeMap::new(),
            server_set_seq: 0,
            servers: BTreeMap::new(),
            conf: None,
            withdrawn: Arc::default(),
            withdrawn_digest: 0,
            verdicts: HashMap::new(),
            current_until: None,
            head_seen: 0,
            store_down: false,
            shares_version: 0,
            shares_known: false,
            holders: Arc::from([]),
            stopping: false,
        }
    }

    /// Ids of the daemons believed to run, this one included, sorted.
    pub fn alive(&self) -> Vec<DaemonId> {
        let mut ids: Vec<_> = self.members.values().filter(|m| m.is_alive()).map(|m| m.id).collect();
        ids.push(self.me.id);
        ids.sort_unstable();
        ids
    }

    /// Version of the configuration in force; 0 if there is none.
    pub fn version(&self) -> Version {
        self.conf.as_ref().map_or(0, |c| c.version)
    }
}
