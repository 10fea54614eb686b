//! Catalogue of numbered log events. A test checks `docs/EVENTS.md` against it.

macro_rules! events {
    ($( $number:literal $name:ident $text:literal; )*) => {
        /// A numbered log event.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum Event { $( #[doc = $text] $name, )* }

        impl Event {
            /// All events, in ascending order of their numbers.
            pub const ALL: &'static [Event] = &[$( Event::$name, )*];

            /// Number of the event. Numbers are stable: the number of a removed event is not used again.
            pub const fn number(self) -> u16 {
                match self { $( Event::$name => $number, )* }
            }

            /// Meaning of the event in one sentence, as `docs/EVENTS.md` lists it.
            pub const fn text(self) -> &'static str {
                match self { $( Event::$name => $text, )* }
            }
        }
    };
}

events! {
    101 DaemonStarted "The daemon started and listens.";
    102 DaemonStopping "The daemon received a stop signal and takes no new work.";
    103 DaemonStopped "All accepted work is finished and the daemon exits.";
    104 SettingRefused "A flag or environment variable has a value that can't be used.";
    105 GraceExceeded "The grace period of a stop ended before all accepted work did.";
    201 MemberUp "A daemon joined or came back.";
    202 MemberSuspect "A daemon did not answer direct and indirect probes.";
    203 MemberDown "A daemon is considered gone.";
    204 MemberLeft "A daemon left gracefully.";
    205 DatagramRefused "A datagram was malformed, too large or not authenticated.";
    206 ViewCurrent "The daemon's view of keys and configuration is current.";
    207 ViewStale "The daemon can't confirm that its view is current.";
    301 StoreUp "The store answers again.";
    302 StoreDown "The store does not answer.";
    303 StoreAmbiguous "The answer of a write was lost; its effect is being resolved.";
    304 RowRefused "A row of the store describes nothing that can be used.";
    305 StoreStillDown "A further query of the store has failed.";
    306 StoreRestored "The store was restored from a copy and has begun a new era.";
    307 StoreOutdated "An answer of the store from before its restore was refused.";
    308 RowRewritten "A row of this daemon was written again after a restore of the store.";
    401 ConfigApplied "A new configuration version is in force in this daemon.";
    402 ConfigRefused "A configuration was refused by validation.";
    403 ConfigConflict "Two operators changed the configuration at the same time.";
    404 ConfigCommitted "A configuration change was committed.";
    405 KeyWithdrawn "A key was withdrawn.";
    406 KeyWithdrawalStored "A withdrawal taken while the store was down is now stored.";
    407 ConfigHeard "Another daemon has a newer configuration version.";
    408 EvacuationChanged "The set of data centres to be evacuated has changed.";
    501 SharesChanged "The holders of rate shares changed.";
    502 SharesUnsettled "A change of holders waits for acknowledgements.";
    503 SharesStopped "The daemon may not spend its shares until it has confirmed them.";
    504 DelegationMoved "Delegated rate moved between regions.";
    601 ServerAnnounced "A backend server announced itself.";
    602 ServerLeaving "A backend server drains or its announcement lapsed.";
    603 ServerEjected "A backend server was ejected.";
    604 ServerTrial "An ejected backend server gets trial requests.";
    605 ServerReturned "A backend server takes its full share again.";
    606 FloorReached "An ejection was held back because of the service's floor.";
    607 ServerAvoided "This daemon avoids a backend server on its own evidence.";
    608 HeartbeatRefused "A heartbeat names no server that may be used.";
    609 DeparturesKnown "The daemon knows which departures earlier processes acknowledged, and lets its server take work.";
    701 RequestRefused "A request was refused.";
    702 RequestRetried "A request was sent to another server.";
    703 ConnectionSilent "A connection to a server made no progress and was closed.";
    704 CallerGone "The caller closed the connection before its answer was complete.";
    705 RequestAnswered "A server's answer was returned.";
    706 RequestFailed "An attempt at a request was declined or failed.";
    707 RequestDeclined "The daemon beside a server did not give it a request.";
    708 AnswerCut "A caller's connection ended before its last answer was sent whole.";
    709 BytesDiscarded "Bytes came on a caller's connection after the daemon had closed it.";
    710 ConnectionClosed "The daemon closed a caller's connection early.";
    720 FateAsked "Another daemon was asked what became of hand-offs without an answer.";
    721 FateProven "Hand-offs without an answer were proven not to have run.";
    722 HandoffGivenUp "Hand-offs that had not started were given up for their caller's daemon.";
    801 SettingsReloaded "The settings were read again.";
    802 LogDropped "Log lines were dropped because the writer was behind.";
}

/// Logs an event with its number: `event!(Info, ConfigApplied, "version={}", 7)`.
#[macro_export]
macro_rules! event {
    ($level:ident, $event:ident, $($arg:tt)+) => {
        $crate::event::write(::log::Level::$level, $crate::Event::$event, format_args!($($arg)+))
    };
}

/// Writes one event to the log; use the [`event!`](crate::event!) macro instead.
#[doc(hidden)]
pub fn write(level: log::Level, event: Event, args: std::fmt::Arguments<'_>) {
    log::log!(target: "pomelopath", level, "E{:04} {event:?} {args}", event.number());
}
