//! The plug-in interface of the kernel and the registry of its areas.

use base::DaemonId;
use serde_json::Value;
use wire::Msg;

use crate::api::{ApiReq, Ticket};
use crate::cx::Cx;
use crate::input::{Event, StoreToken};
use crate::machine::Setup;
use crate::report::Report;
use store::{StoreError, StoreRep};

/// An area of control: a plug-in that handles inputs with one part of the daemon's control state. Methods
/// have defaults, so that an area implements only the inputs that it handles.
pub trait Area {
    /// Stable name used in metrics and status.
    fn name(&self) -> &'static str;

    /// Called once, before the first input.
    fn on_start(&mut self, _cx: &mut Cx<'_>) {}

    /// Called for each authenticated message; an area ignores messages of other areas.
    fn on_msg(&mut self, _cx: &mut Cx<'_>, _from: DaemonId, _msg: &Msg) {}

    /// Called with the result of a store operation that this area started.
    fn on_store(&mut self, _cx: &mut Cx<'_>, _token: StoreToken, _res: &Result<StoreRep, StoreError>) {}

    /// Called for each event that an area emits, also for this area's own events.
    fn on_event(&mut self, _cx: &mut Cx<'_>, _event: &Event) {}

    /// Called for each report of the traffic threads.
    fn on_report(&mut self, _cx: &mut Cx<'_>, _report: &Report) {}

    /// Called for a request on the operator API until an area returns true. That area answers the request
    /// with [`Cx::answer`], at once or later.
    fn on_api(&mut self, _cx: &mut Cx<'_>, _ticket: Ticket, _req: &ApiReq) -> bool {
        false
    }

    /// Called about every [`crate::machine::TICK_MS`] milliseconds.
    fn on_tick(&mut self, _cx: &mut Cx<'_>) {}

    /// State shown to operators by `GET /v1/status`: a JSON object, or null if there is none.
    fn status(&self) -> Value {
        Value::Null
    }

    /// Whether the area has finished all work that a graceful stop waits for.
    fn is_idle(&self) -> bool {
        true
    }
}

/// Registration of an area: `kernel::inventory::submit! { AreaEntry { … } }`.
#[derive(Debug)]
pub struct AreaEntry {
    /// Name, unique among the areas.
    pub name: &'static str,
    /// Areas handle each input in ascending order of this number, and of the name where it is equal.
    pub order: u16,
    /// Builds the area when the kernel is made.
    pub build: fn(&Setup) -> Box<dyn Area>,
}

inventory::collect!(AreaEntry);
