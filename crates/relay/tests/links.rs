//! Connections to a daemon that doesn't answer.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use relay::links::{LinkError, Links};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::timeout;

/// Most connections that are opened to fill the accept queue of a listener.
const MAX_FILLERS: usize = 16;
/// Time after which a connection attempt counts as unanswered.
const NO_ANSWER_AFTER: Duration = Duration::from_millis(300);
/// Number of concurrent requests to the same daemon.
const CONCURRENT_REQUESTS: usize = 5;

/// An address that answers no connection attempt, like the address of an instance without power, for as long
/// as the returned sockets are kept.
async fn silent_address() -> (SocketAddr, TcpListener, Vec<TcpStream>) {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.bind("127.0.0.1:0".parse().expect("an address")).expect("a free port");
    let listener = socket.listen(1).expect("a listener");
    let addr = listener.local_addr().expect("a bound address");
    let mut fillers = Vec::new();
    while let Ok(filler) = timeout(NO_ANSWER_AFTER, TcpStream::connect(addr)).await {
        fillers.push(filler.expect("a connection"));
        assert!(fillers.len() < MAX_FILLERS, "the queue never fills");
    }
    (addr, listener, fillers)
}

async fn send(links: Rc<Links>, to: SocketAddr) -> Result<(), LinkError> {
    let req = Request::builder().uri(format!("http://{to}/stock/a")).body(Full::new(Bytes::new()));
    links.send_request(to, req.expect("a request")).await.map(drop)
}

#[test]
fn requests_to_a_daemon_without_answer_do_not_wait_for_each_others_attempts() {
    // A single attempt to connect is given up after 600 ms.
    const TIMEOUT: Duration = Duration::from_millis(1_300);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let (addr, _listener, _fillers) = silent_address().await;
        let links = Rc::new(Links::default());
        let started = Instant::now();
        let sends: Vec<_> = (0..CONCURRENT_REQUESTS)
            .map(|_| tokio::task::spawn_local(send(Rc::clone(&links), addr)))
            .collect();
        for sent in sends {
            assert_eq!(sent.await.expect("the task ends"), Err(LinkError::NotSent));
        }
        let took = started.elapsed();
        assert!(took < TIMEOUT, "{took:?}");
    });
}
