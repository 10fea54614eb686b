//! Connections to servers: HTTP/1.1, reused while healthy.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;

use bytes::Bytes;
use derive_more::Debug;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Body of a request to a server; small bodies are held so that they can be sent again.
pub type RequestBody = Full<Bytes>;

/// Idle connections that are kept for each server.
const MAX_IDLE: usize = 16;

/// Idle connections by server address.
#[derive(Debug, Default)]
pub struct Connections {
    #[debug(skip)]
    idle: Mutex<HashMap<SocketAddr, Vec<SendRequest<RequestBody>>>>,
}

/// Why no whole head of an answer came.
#[derive(Debug)]
pub enum SendError {
    /// No connection; the request did not run.
    Connect,
    /// The connection broke after the request was sent.
    Broken,
}

impl Connections {
    /// Sends a request and returns the answer's head; the connection goes back with [`Self::give_back`].
    ///
    /// # Errors
    /// Fails when no connection can be opened or it breaks before the head.
    pub async fn send(
        &self,
        addr: SocketAddr,
        req: Request<RequestBody>,
        fresh: bool,
    ) -> Result<(Response<Incoming>, SendRequest<RequestBody>), SendError> {
        let idle = if fresh { None } else { self.take_idle(addr) };
        let mut sender = match idle {
            Some(sender) => sender,
            None => connect(addr).await?,
        };
        let rep = sender.send_request(req).await.map_err(|_broken| SendError::Broken)?;
        Ok((rep, sender))
    }

    /// Keeps a connection for the next request.
    pub fn give_back(&self, addr: SocketAddr, sender: SendRequest<RequestBody>) {
        let mut idle = self.idle.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let list = idle.entry(addr).or_default();
        if list.len() < MAX_IDLE {
            list.push(sender);
        }
    }

    fn take_idle(&self, addr: SocketAddr) -> Option<SendRequest<RequestBody>> {
        let mut idle = self.idle.lock().unwrap_or_else(std::sync::PoisonError::into_inner);
        let list = idle.get_mut(&addr)?;
        list.retain(|s| !s.is_closed());
        let ready = list.iter().rposition(SendRequest::is_ready)?;
        Some(list.swap_remove(ready))
    }
}

async fn connect(addr: SocketAddr) -> Result<SendRequest<RequestBody>, SendError> {
    let stream = TcpStream::connect(addr).await.map_err(|_refused| SendError::Connect)?;
    let _ = stream.set_nodelay(true);
    let (sender, conn) =
        http1::handshake(TokioIo::new(stream)).await.map_err(|_refused| SendError::Connect)?;
    tokio::spawn(conn);
    Ok(sender)
}
