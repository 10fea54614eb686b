//! The fake store: the in-memory model of the store, with faults.

use std::collections::HashSet;
use std::time::Duration;

use base::DaemonId;
use rand::Rng;
use rand::rngs::SmallRng;
use store::{MemStore, StoreError, StoreOp, StoreRep};

/// The store and its faults; each fault may be changed while the fleet runs.
#[derive(Clone, Debug)]
pub struct FakeStore {
    /// Rows and objects.
    pub mem: MemStore,
    /// Whether every call fails without effect.
    pub down: bool,
    /// Daemons that can't reach the store.
    pub cut_off_daemons: HashSet<DaemonId>,
    /// Share of writes whose answer is lost after the write took effect, 0 to 1.
    pub lost_answers: f64,
    /// Time from a call to its effect, and again from the effect to the arrival of the answer.
    pub latency: Duration,
    /// Reads executed so far.
    pub reads: u64,
    /// Writes executed so far, those with a lost answer included.
    pub writes: u64,
}

impl Default for FakeStore {
    fn default() -> Self {
        Self {
            mem: MemStore::default(),
            down: false,
            cut_off_daemons: HashSet::new(),
            lost_answers: 0.0,
            latency: Duration::from_millis(2),
            reads: 0,
            writes: 0,
        }
    }
}

impl FakeStore {
    /// Executes an operation for one daemon, subject to the faults in force.
    pub(crate) fn execute_op(
        &mut self,
        from: DaemonId,
        op: &StoreOp,
        rng: &mut SmallRng,
    ) -> Result<StoreRep, StoreError> {
        if self.down || self.cut_off_daemons.contains(&from) {
            return Err(StoreError::Down);
        }
        let is_write = matches!(op, StoreOp::Commit(_) | StoreOp::PutObject { .. });
        let count = if is_write { &mut self.writes } else { &mut self.reads };
        *count += 1;
        let res = self.mem.apply(op);
        if is_write && rng.random::<f64>() < self.lost_answers {
            return Err(StoreError::Ambiguous);
        }
        res
    }
}
