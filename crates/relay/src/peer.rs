//! What is known of one other daemon and its server.

use std::time::{Duration, Instant};

use base::{DaemonId, Place, ServiceId, Version};
use route::placement::{ServerCondition, ServerLoad};
use route::slot_queue::SlotWork;

use crate::clock::BootTime;
use crate::datagram::{Incarnation, PeerInfo};
use crate::handoff::ServerReport;

/// Age of a report up to which a server of another data centre is chosen by it. Two digests may be lost
/// meanwhile.
const MAX_REPORT_AGE: Duration = Duration::from_secs(4);
/// Assumed number of slots of a server whose report is not known.
const DEFAULT_SLOTS: u32 = 4;

/// What is known of one other daemon.
#[derive(Debug)]
pub struct Peer {
    /// Address for datagrams and hand-offs.
    pub addr: DaemonId,
    pub(crate) incarnation: Incarnation,
    pub(crate) place: Place,
    pub(crate) service: ServiceId,
    /// Latest report on the daemon's server. Replaced only together with `reported_at`; a hand-off takes back
    /// its wish for a probe.
    pub(crate) report: Option<ServerReport>,
    /// When `report` was made, as far as this daemon can tell; `None` if the report is no longer relied on.
    pub(crate) reported_at: Option<Instant>,
    /// Version of the daemon's configuration; 0 if not known.
    pub(crate) version: Version,
    /// Number of daemons in that daemon's table, that daemon included.
    pub(crate) member_count: u32,
    /// Number of hand-offs to the daemon since its last report, which doesn't include them.
    pub(crate) pending: u32,
    /// Work of the `pending` hand-offs at an average server.
    pub(crate) pending_work: Duration,
    /// When a request was last handed to the daemon.
    pub(crate) handed_off_at: Option<Instant>,
    pub(crate) last_status_at: Option<Instant>,
    /// `sent_at` of the daemon's latest status, on the daemon's clock.
    pub(crate) last_sent_at: Option<BootTime>,
    /// Whether the daemon has recently received a status from this one.
    pub(crate) receives_from_us: bool,
    /// Set after a failed hand-off: the daemon gets no work until this time.
    pub(crate) path_down_until: Option<Instant>,
    pub(crate) added_at: Instant,
}

impl Peer {
    pub(crate) fn new(peer_info: PeerInfo, now: Instant) -> Self {
        let PeerInfo { addr, incarnation, place, service } = peer_info;
        Self {
            addr,
            incarnation,
            place,
            service,
            report: None,
            reported_at: None,
            version: 0,
            member_count: 0,
            pending: 0,
            pending_work: Duration::ZERO,
            handed_off_at: None,
            last_status_at: None,
            last_sent_at: None,
            receives_from_us: false,
            path_down_until: None,
            added_at: now,
        }
    }

    pub(crate) fn load(&self) -> ServerLoad {
        let Some(report) = self.report else {
            let (running, slots) = (self.pending, DEFAULT_SLOTS);
            let work = SlotWork { total: self.pending_work, before_calls: self.pending_work };
            return ServerLoad { running, waiting: 0, slots, work, slowness: None, shed_share: 0.0 };
        };
        report.load(self.pending, self.pending_work)
    }

    /// Condition of the daemon's server. An idle server counts as healthy once this daemon has handed work to
    /// it.
    pub(crate) fn condition(&self) -> ServerCondition {
        match self.report.map_or(ServerCondition::Healthy, |r| r.condition) {
            ServerCondition::Idle if self.pending > 0 => ServerCondition::Healthy,
            known => known,
        }
    }

    pub(crate) fn takes_work(&self) -> bool {
        self.report.is_none_or(|r| r.takes_work)
    }

    /// Whether `report` was made recently enough to choose the server by it.
    pub(crate) fn is_known(&self, now: Instant) -> bool {
        self.reported_at.is_some_and(|at| now.saturating_duration_since(at) < MAX_REPORT_AGE)
    }

    /// Age of `report`, at most [`MAX_REPORT_AGE`].
    pub(crate) fn report_age(&self, now: Instant) -> Duration {
        let age = self.reported_at.map(|at| now.saturating_duration_since(at));
        age.map_or(MAX_REPORT_AGE, |age| age.min(MAX_REPORT_AGE))
    }

    /// Counts a hand-off until the daemon's next report. A server that asked for a probe has got one.
    pub(crate) fn record_handoff(&mut self, now: Instant) {
        self.pending += 1;
        self.handed_off_at = Some(now);
        self.report = self.report.map(ServerReport::without_probation);
    }

    /// Takes one hand-off, which has been answered, out of those that the report doesn't include.
    pub(crate) fn record_answer(&mut self) {
        self.pending_work -= self.pending_work / self.pending.max(1);
        self.pending = self.pending.saturating_sub(1);
    }

    /// Forgets the hand-offs that a new report includes.
    pub(crate) fn clear_pending(&mut self) {
        self.pending = 0;
        self.pending_work = Duration::ZERO;
    }

    /// Applies a report that the daemon itself has just sent.
    pub(crate) fn apply_report(&mut self, report: ServerReport, now: Instant) {
        self.report = Some(report);
        self.reported_at = Some(now);
    }

    /// No longer relies on a report that was made before `time`.
    pub(crate) fn forget_report_before(&mut self, time: Instant) {
        self.reported_at.take_if(|at| *at < time);
    }

    /// Applies a report that was made at `reported_at` and came through another daemon, unless a later one is
    /// known.
    pub(crate) fn apply_older_report(&mut self, report: ServerReport, reported_at: Instant) {
        if self.reported_at.is_some_and(|known| known >= reported_at) {
            return;
        }
        self.apply_report(report, reported_at);
        if self.handed_off_at.is_none_or(|at| at < reported_at) {
            self.clear_pending();
        }
    }
}
