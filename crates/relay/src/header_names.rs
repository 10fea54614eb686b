//! Names of the headers that callers, servers and daemons exchange. A deployment may have its own.

use hyper::header::HeaderName;

/// Header names of one deployment.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Id of a request, echoed by servers.
    pub request_id: HeaderName,
    /// Milliseconds that the caller will still wait.
    pub deadline_ms: HeaderName,
    /// Key of the caller.
    pub key: HeaderName,
    /// Customer for whom a request runs; set for servers.
    pub customer: HeaderName,
    /// Service of the instance on which a request began; set for servers.
    pub caller_service: HeaderName,
    /// Server that alone may run the request; set for servers.
    pub expected_server: HeaderName,
    /// Proof of a server that it made the answer.
    pub signature: HeaderName,
    /// Present if the server did not run the request.
    pub not_run: HeaderName,
    /// Load of the server that answered; stays between daemon and server.
    pub server_load: HeaderName,
}

impl Default for HeaderNames {
    fn default() -> Self {
        let name = HeaderName::from_static;
        Self {
            request_id: name("x-request-id"),
            deadline_ms: name("x-deadline-ms"),
            key: name("x-api-key"),
            customer: name("x-customer"),
            caller_service: name("x-caller-service"),
            expected_server: name("x-expected-server"),
            signature: name("x-server-signature"),
            not_run: name("x-not-run"),
            server_load: name("x-server-load"),
        }
    }
}
