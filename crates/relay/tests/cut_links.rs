//! Another daemon that stops in the middle of an answer or a request. What has arrived must not be taken for the
//! whole.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use common::{Act, conf, fleet, on_one_thread, request, status};
use h2::Reason;
use http_body_util::Full;
use hyper::{Request, Response};
use relay::body::{BufferError, buffer_body};
use relay::links::Links;
use rstest::rstest;
use tokio::net::TcpListener;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// Limit of a buffered body in bytes.
const MAX_BYTES: usize = 1_024;

/// Time after which the answer ends, so that its first bytes have been sent.
const SEND_TIME: Duration = Duration::from_millis(50);

/// How a daemon ends an answer of which it has sent three of five bytes.
#[derive(Clone, Copy, Debug)]
enum End {
    /// It resets the stream.
    Reset(Reason),
    /// Its connection closes.
    Close,
}

/// Starts a daemon that sends part of an answer.
async fn start_daemon(end: End) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("a bound address");
    spawn_local(async move {
        let (stream, _) = listener.accept().await.expect("a connection");
        let mut conn = h2::server::handshake(stream).await.expect("HTTP/2");
        let (_req, mut respond) = conn.accept().await.expect("a request").expect("HTTP/2");
        let rep = Response::builder().header("content-length", 5).body(()).expect("a valid response");
        let mut body = respond.send_response(rep, false).expect("an open stream");
        body.send_data(Bytes::from_static(b"who"), false).expect("an open stream");
        spawn_local(async move {
            sleep(SEND_TIME).await;
            if let End::Reset(reason) = end {
                body.send_reset(reason);
                std::future::pending::<()>().await;
            }
        });
        if let End::Close = end {
            let _ = timeout(SEND_TIME, conn.accept()).await;
            return;
        }
        while conn.accept().await.is_some() {}
    });
    addr
}

// Guards against a short body that is framed as whole for the caller.
#[rstest]
#[case::cancelled(End::Reset(Reason::CANCEL))]
#[case::without_error(End::Reset(Reason::NO_ERROR))]
#[case::internal_error(End::Reset(Reason::INTERNAL_ERROR))]
#[case::closed(End::Close)]
fn an_answer_that_another_daemon_breaks_off_is_not_whole(#[case] end: End) {
    on_one_thread(async {
        let to = start_daemon(end).await;
        let links = Links::default();
        let req = Request::builder().uri(format!("http://{to}/stock/a")).body(Full::new(Bytes::new()));
        let rep = links.send_request(to, req.expect("a request")).await.expect("a head");
        let body = buffer_body(rep.into_body(), MAX_BYTES).await;
        assert!(matches!(body, Err(BufferError::Broken)), "{body:?}");
    });
}

// Guards against the stated length of an answer to HEAD, which has no body, being taken for a missing one.
#[test]
fn an_answer_to_a_head_request_is_whole_without_its_body() {
    on_one_thread(async {
        let fleet = fleet(&[&[Act::Answer], &[Act::Answer]], conf).await;
        fleet.daemons[0].register(2, true);
        let rep = fleet.daemons[0].send_raw(&request("HEAD", "/stock/a", "r1", ""), "\r\n\r\n").await;
        assert_eq!((status(&rep), fleet.daemons[1].runs()), (200, 1), "{rep}");
    });
}
