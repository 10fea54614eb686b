//! A faulty server that stops in the middle of its answers.

use std::net::SocketAddr;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

/// Starts a server that sends `bytes`, in which `ID` stands for the request's id, and closes.
pub async fn start_server(bytes: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let addr = listener.local_addr().expect("a bound address");
    spawn_local(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let bytes = bytes.clone();
            // An error means that the daemon has closed the connection.
            spawn_local(async move { answer(&mut stream, &bytes).await.unwrap_or_default() });
        }
    });
    addr
}

async fn answer(stream: &mut TcpStream, bytes: &str) -> std::io::Result<()> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await?);
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    let id = head.split_once("x-request-id: ").and_then(|(_, rest)| rest.split_once("\r\n"));
    stream.write_all(bytes.replace("ID", id.map_or("", |(id, _)| id)).as_bytes()).await?;
    stream.shutdown().await
}
