//! Names of the headers that callers, servers and daemons exchange. Each deployment may choose its own.

use hyper::header::HeaderName;

/// Header names of one deployment.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Id of the request; servers repeat it in the answer.
    pub request_id: HeaderName,
    /// Time in milliseconds for which the caller will wait.
    pub deadline_ms: HeaderName,
    /// API key of the caller.
    pub api_key: HeaderName,
    /// Customer for whom the request runs; daemons set it for servers.
    pub customer: HeaderName,
    /// Service of the instance on which the request began; daemons set it for servers.
    pub caller_service: HeaderName,
    /// Id of the server that must run the request; daemons set it, and any other server refuses the request.
    pub expected_server: HeaderName,
    /// Signature by which a server shows that the answer is its own.
    pub signature: HeaderName,
    /// Present in an answer if the server did not run the request.
    pub not_run: HeaderName,
    /// Load of the server; removed by the daemon beside the server before the answer is passed on.
    pub server_load: HeaderName,
}

impl Default for HeaderNames {
    fn default() -> Self {
        let name = HeaderName::from_static;
        Self {
            request_id: name("x-request-id"),
            deadline_ms: name("x-deadline-ms"),
            api_key: name("x-api-key"),
            customer: name("x-customer"),
            caller_service: name("x-caller-service"),
            expected_server: name("x-expected-server"),
            signature: name("x-server-signature"),
            not_run: name("x-not-run"),
            server_load: name("x-server-load"),
        }
    }
}
