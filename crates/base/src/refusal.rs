//! Reasons for which a daemon answers a request itself instead of forwarding a server's answer.

use derive_more::Display;

/// Whether a refused request was executed at a backend server.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum Executed {
    /// Proven not to have been executed. Shown as `no`.
    #[display("no")]
    No,
    /// Possibly executed: sent to a server whose answer did not arrive whole. Shown as `unknown`.
    #[display("unknown")]
    Unknown,
}

macro_rules! refusals {
    ($( $(#[$doc:meta])* $name:ident $code:literal $status:literal $executed:ident $remedy:literal; )*) => {
        /// Reason of a refusal, with its code, HTTP status, execution state and remedy.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum Refusal { $( $(#[$doc])* $name, )* }

        impl Refusal {
            /// All reasons, in the order of their declaration.
            pub const ALL: &'static [Refusal] = &[$( Refusal::$name, )*];

            /// Stable name used in headers, bodies, metrics and logs.
            pub const fn code(self) -> &'static str {
                match self { $( Refusal::$name => $code, )* }
            }

            /// HTTP status code of the answer.
            pub const fn status(self) -> u16 {
                match self { $( Refusal::$name => $status, )* }
            }

            /// Whether the request may have been executed.
            pub const fn executed(self) -> Executed {
                match self { $( Refusal::$name => Executed::$executed, )* }
            }

            /// What the caller or the operator can do about it.
            pub const fn remedy(self) -> &'static str {
                match self { $( Refusal::$name => $remedy, )* }
            }
        }
    };
}

refusals! {
    /// The request is malformed or ambiguous, e.g. has two lengths, and is never forwarded.
    BadRequest "bad-request" 400 No "send one well-formed HTTP request with a single body length";
    /// The body is larger than the operators allow.
    BodyTooLarge "body-too-large" 413 No "send a smaller body";
    /// No route matches host, path and method.
    NoRoute "no-route" 404 No "check host, path and method against `pomeloctl customers` and the routes";
    /// The route needs a key and the request has none.
    KeyMissing "key-missing" 401 No "send the key as `Authorization: Bearer KEY` or `x-api-key: KEY`";
    /// The key is unknown, expired or withdrawn.
    KeyInvalid "key-invalid" 401 No "ask the operator for a new key";
    /// The key belongs to another customer than the route.
    KeyForbidden "key-forbidden" 403 No "use a key of the customer that owns the route";
    /// This daemon can't confirm that the key is still valid.
    KeyUnconfirmed "key-unconfirmed" 503 No "retry at another daemon; operators: see store and peers in `pomeloctl status`";
    /// The customer is over its rate and burst.
    OverRate "over-rate" 429 No "wait for the time in Retry-After or ask for a higher rate";
    /// The fleet could not confirm tokens in time although the customer may be inside its rate.
    TokensUnconfirmed "tokens-unconfirmed" 503 No "retry; operators: see shares and delegations in `pomeloctl status`";
    /// The service's queue is full, or the part of it that one customer may use.
    QueueFull "queue-full" 503 No "retry later with backoff; operators: add servers to the service";
    /// Bodies of other requests take the memory that the body needs.
    BodyMemory "body-memory" 503 No "retry later with backoff; operators: give instances more memory";
    /// The deadline would pass before a server could be reached.
    DeadlineTooShort "deadline-too-short" 504 No "send a longer deadline or retry when load falls";
    /// The service has no server that may take work.
    NoServer "no-server" 503 No "retry later; operators: see `pomeloctl explain server`";
    /// The regions allowed for the route and those allowed for the customer have none in common.
    NoRegion "no-region" 503 No "operators: let the route and the customer share an allowed region";
    /// No connection to a server could be opened.
    ConnectFailed "connect-failed" 502 No "retry; operators: check the path to the servers";
    /// Every attempted server shed the request and said that it did not execute it.
    Shed "shed" 503 No "retry later with backoff";
    /// The retry budget of the customer or the service is spent, and no attempt was executed.
    RetryBudget "retry-budget" 503 No "retry later with backoff";
    /// The daemon is stopping and takes no new work.
    Stopping "stopping" 503 No "retry at another daemon";
    /// The daemon has no configuration yet.
    NotReady "not-ready" 503 No "retry at another daemon; operators: see `pomeloctl status`";
    /// The idempotency claim could not be made because the store does not answer.
    DedupeUnavailable "dedupe-unavailable" 503 No "retry with the same Idempotency-Key when the store is back";
    /// The route needs an Idempotency-Key.
    DedupeKeyMissing "dedupe-key-missing" 400 No "send a unique Idempotency-Key header for each order";
    /// Another request with the same Idempotency-Key is in progress or its outcome is not known.
    DedupeUnknown "dedupe-unknown" 409 Unknown "ask for the state of the order before you repeat it";
    /// The same Idempotency-Key came with another request.
    DedupeMismatch "dedupe-mismatch" 422 No "use a new Idempotency-Key for a new request";
    /// The deadline passed after the request was sent.
    TimedOut "timed-out" 504 Unknown "check whether the request took effect before you repeat it";
    /// The server's connection broke or went silent after the request was sent.
    Broken "broken" 502 Unknown "check whether the request took effect before you repeat it";
    /// The server answered for another request, or its answer was cut short.
    BadAnswer "bad-answer" 502 Unknown "check whether the request took effect before you repeat it";
}
