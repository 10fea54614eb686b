//! Requests that two HTTP implementations could understand differently, and parts of requests that must not
//! reach a server.

mod common;

use common::{Behavior, SECRET, daemon_with_one_server, header, status};
use rstest::rstest;

#[rstest]
#[case::length_then_chunked("content-length: 5\r\ntransfer-encoding: chunked\r\n", "0\r\n\r\n")]
#[case::chunked_then_length("transfer-encoding: chunked\r\ncontent-length: 5\r\n", "0\r\n\r\n")]
#[case::two_lengths("content-length: 5\r\ncontent-length: 6\r\n", "hello!")]
#[case::same_length_twice("content-length: 5\r\ncontent-length: 5\r\n", "hello")]
#[case::signed_length("content-length: +5\r\n", "hello")]
#[case::bad_chunk_size("transfer-encoding: chunked\r\n", "zz\r\nhello\r\n0\r\n\r\n")]
#[case::chunked_is_not_last("transfer-encoding: chunked, gzip\r\n", "0\r\n\r\n")]
#[case::folded_line("x-a: 1\r\n  folded\r\ncontent-length: 0\r\n", "")]
#[case::space_before_colon("content-length : 5\r\n", "hello")]
#[case::bare_line_feed("x-a: 1\ncontent-length: 5\r\n", "hello")]
#[case::two_hosts("host: b\r\ncontent-length: 0\r\n", "")]
#[case::two_keys("authorization: Bearer a\r\nx-api-key: b\r\ncontent-length: 0\r\n", "")]
#[tokio::test]
async fn an_ambiguous_request_reaches_no_server(#[case] headers: &str, #[case] body: &str) {
    let (daemon, server) = daemon_with_one_server(&[Behavior::Ok]).await;
    let rep = daemon.send_raw(&format!("POST /open HTTP/1.1\r\nhost: a\r\n{headers}\r\n{body}")).await;
    assert_eq!(status(&rep), 400, "{rep}");
    assert_eq!(server.requests().len(), 0);
}

#[rstest]
#[case::target_of_another_host("GET http://b/open HTTP/1.1\r\nhost: a\r\n\r\n")]
#[case::no_host("GET /open HTTP/1.1\r\n\r\n")]
#[case::connect("CONNECT a:80 HTTP/1.1\r\nhost: a:80\r\n\r\n")]
#[case::dot_segment("GET /open/../stock HTTP/1.1\r\nhost: a\r\n\r\n")]
#[case::escaped_dot_segment("GET /open/%2e%2E/stock HTTP/1.1\r\nhost: a\r\n\r\n")]
#[case::escaped_slash("GET /open/..%2fstock HTTP/1.1\r\nhost: a\r\n\r\n")]
#[case::chunked_in_http10("POST /open HTTP/1.0\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n")]
#[tokio::test]
async fn a_misleading_target_reaches_no_server(#[case] req: &str) {
    let (daemon, server) = daemon_with_one_server(&[Behavior::Ok]).await;
    let rep = daemon.send_raw(req).await;
    assert_eq!(status(&rep), 400, "{rep}");
    assert_eq!(server.requests().len(), 0);
}

#[tokio::test]
async fn an_oversized_head_is_refused() {
    let (daemon, server) = daemon_with_one_server(&[Behavior::Ok]).await;
    let rep = daemon.get("/open", &format!("x-a: {}\r\n", "a".repeat(80_000))).await;
    assert_eq!(status(&rep), 431);
    assert_eq!(server.requests().len(), 0);
}

#[rstest]
#[case::bearer("/stock", "authorization: Bearer KEY\r\n")]
#[case::named_header("/stock", "x-api-key: KEY\r\n")]
#[case::repeated_elsewhere("/stock", "x-api-key: KEY\r\nx-note: my KEY\r\ncookie: k=KEY\r\n")]
#[case::query("/stock?key=KEY&Api_Key=KEY&access_token=x&size=3", "x-api-key: KEY\r\n")]
#[case::escaped_query("/stock?%6bey=KEY&size=3", "x-api-key: KEY\r\n")]
#[case::other_parameter("/stock?note=%63irio-pascual-2026&size=3", "x-api-key: KEY\r\n")]
#[case::open_route("/open?key=KEY", "authorization: Bearer KEY\r\n")]
#[tokio::test]
async fn a_key_reaches_no_server(#[case] path: &str, #[case] headers: &str) {
    let (daemon, server) = daemon_with_one_server(&[Behavior::Ok]).await;
    let rep = daemon.get(&path.replace("KEY", SECRET), &headers.replace("KEY", SECRET)).await;
    assert_eq!(status(&rep), 200, "{rep}");
    let received = server.requests().remove(0);
    assert!(!received.contains("irio-pascual"), "{received}");
    assert_eq!(path.contains("size=3"), received.contains("size=3"));
}

#[rstest]
#[case::plain("/stock/cirio-pascual-2026")]
#[case::escaped("/stock/%63irio-pascual-2026")]
#[tokio::test]
async fn a_key_in_the_path_is_refused(#[case] path: &str) {
    let (daemon, server) = daemon_with_one_server(&[Behavior::Ok]).await;
    let rep = daemon.get(path, &format!("x-api-key: {SECRET}\r\n")).await;
    assert_eq!(status(&rep), 400);
    assert_eq!(server.requests().len(), 0);
}

#[tokio::test]
async fn a_key_in_a_trailer_reaches_no_server() {
    let (daemon, server) = daemon_with_one_server(&[Behavior::Ok]).await;
    let req = format!(
        "POST /stock HTTP/1.1\r\nhost: a\r\nx-api-key: {SECRET}\r\ntrailer: x-api-key\r\n\
         transfer-encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nx-api-key: {SECRET}\r\n\r\n"
    );
    let rep = daemon.send_raw(&req).await;
    assert_eq!(status(&rep), 200, "{rep}");
    assert!(!server.requests()[0].contains(SECRET));
}

#[tokio::test]
async fn hop_by_hop_and_fleet_headers_are_not_passed_on() {
    let (daemon, server) = daemon_with_one_server(&[Behavior::Ok]).await;
    let headers = "connection: x-a, keep-alive, upgrade\r\nx-a: 1\r\nupgrade: websocket\r\nte: trailers\r\n\
                   keep-alive: 5\r\nx-pomelo-run: no\r\nx-b: 2\r\n";
    daemon.get("/open", headers).await;
    let received = server.requests().remove(0);
    for name in ["connection", "x-a", "upgrade", "te", "keep-alive", "x-pomelo-run"] {
        assert_eq!(header(&received, name), None, "{name}");
    }
    assert_eq!(header(&received, "x-b").unwrap(), "2");
    assert_eq!(header(&received, "host").unwrap(), "a");
}

#[tokio::test]
async fn an_ambiguous_second_request_on_a_connection_is_refused() {
    let (daemon, server) = daemon_with_one_server(&[Behavior::Ok]).await;
    let first = "POST /open HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\nhi";
    let second =
        "POST /open HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\ncontent-length: 9\r\n\r\n0\r\n\r\n";
    let mut stream = tokio::net::TcpStream::connect(daemon.addr).await.unwrap();
    for (req, expected) in [(first, 200), (second, 400)] {
        tokio::io::AsyncWriteExt::write_all(&mut stream, req.as_bytes()).await.unwrap();
        let rep = common::read_message(&mut stream).await.unwrap();
        assert_eq!(status(&rep), expected);
    }
    assert_eq!(server.requests().len(), 1);
}
