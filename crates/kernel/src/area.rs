//! The plug-in interface of the kernel and its registry.

use base::DaemonId;
use serde_json::Value;
use wire::Msg;

use crate::api::{ApiReq, Ticket};
use crate::cx::Cx;
use crate::input::{Event, StoreToken};
use crate::machine::Setup;
use crate::report::Report;
use store::{StoreError, StoreRep};

/// An area of control. All methods have defaults, so that an area implements what concerns it.
pub trait Area {
    /// Stable name used in metrics and status.
    fn name(&self) -> &'static str;

    /// Called once before any other input.
    fn on_start(&mut self, _cx: &mut Cx<'_>) {}

    /// Called for each authenticated message; areas ignore the variants of others.
    fn on_msg(&mut self, _cx: &mut Cx<'_>, _from: DaemonId, _msg: &Msg) {}

    /// Called with the result of a store operation that this area asked for.
    fn on_store(&mut self, _cx: &mut Cx<'_>, _token: StoreToken, _res: &Result<StoreRep, StoreError>) {}

    /// Called for each internal event, the area's own ones included.
    fn on_event(&mut self, _cx: &mut Cx<'_>, _event: &Event) {}

    /// Called for each report of the traffic threads.
    fn on_report(&mut self, _cx: &mut Cx<'_>, _report: &Report) {}

    /// Called for a request on the operator API; returns whether the area takes it. It then answers
    /// with [`Cx::answer`], now or later.
    fn on_api(&mut self, _cx: &mut Cx<'_>, _ticket: Ticket, _req: &ApiReq) -> bool {
        false
    }

    /// Called about every [`crate::machine::TICK_MS`] milliseconds.
    fn on_tick(&mut self, _cx: &mut Cx<'_>) {}

    /// State for operators, one JSON object.
    fn status(&self) -> Value {
        Value::Null
    }

    /// Whether the area has nothing left to do before a graceful exit.
    fn is_idle(&self) -> bool {
        true
    }
}

/// Registration of an area: `kernel::inventory::submit! { AreaEntry { … } }`.
#[derive(Debug)]
pub struct AreaEntry {
    /// Name, unique.
    pub name: &'static str,
    /// Areas handle each input in ascending order.
    pub order: u16,
    /// Makes the area.
    pub build: fn(&Setup) -> Box<dyn Area>,
}

inventory::collect!(AreaEntry);
