//! Reasons for which a daemon sends a request to another server.

macro_rules! retries {
    ($( $(#[$doc:meta])* $name:ident $code:literal; )*) => {
        /// Why an attempt was followed by another.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum RetryReason { $( $(#[$doc])* $name, )* }

        impl RetryReason {
            /// All reasons, in the order of their declaration.
            pub const ALL: &'static [RetryReason] = &[$( RetryReason::$name, )*];

            /// Stable name used in metrics and logs.
            pub const fn code(self) -> &'static str {
                match self { $( RetryReason::$name => $code, )* }
            }
        }
    };
}

retries! {
    /// The connection could not be opened; the request was not executed.
    Connect "connect";
    /// The server shed the request and said that it did not execute it.
    Shed "shed";
    /// The server answered with a server error.
    ServerError "server-error";
    /// The connection broke before the answer was complete.
    Broken "broken";
    /// The connection made no progress before its deadline.
    Silent "silent";
    /// The answer was for another request or cut short.
    BadAnswer "bad-answer";
}
