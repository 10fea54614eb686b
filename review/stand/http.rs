//! A minimal HTTP/1.1 reader and writer for the stand-ins: one message at a time, bodies in memory.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Longest wait for a connection to be established.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub start: String,
    /// Header names in lower case, with their values.
    pub headers: Vec<(String, String)>,
    /// Whole body.
    pub body: Vec<u8>,
}

impl Message {
    /// First value of a header; empty without one.
    pub fn header(&self, name: &str) -> &str {
        self.headers.iter().find(|(n, _)| n == name).map_or("", |(_, value)| value)
    }

    /// Whether a header is present.
    pub fn has(&self, name: &str) -> bool {
        self.headers.iter().any(|(n, _)| n == name)
    }

    /// Status code of a response; 0 if the status line is malformed.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    /// Target of a request.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads the start line and the headers; `None` if the peer has closed the connection before.
fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.start = line.trim_end().to_owned();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = text.split_once(':') {
            message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

fn read_chunks(reader: &mut impl BufRead) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line)?;
        let len = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
        let mut chunk = vec![0; len + 2];
        reader.read_exact(&mut chunk)?;
        if len == 0 {
            return Ok(body);
        }
        body.extend_from_slice(&chunk[..len]);
    }
}

fn read_body(reader: &mut impl BufRead, message: &mut Message, ends_with_connection: bool) -> io::Result<()> {
    if message.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
        message.body = read_chunks(reader)?;
    } else if message.has("content-length") {
        let len: usize = message.header("content-length").parse().map_err(io::Error::other)?;
        message.body = vec![0; len];
        reader.read_exact(&mut message.body)?;
    } else if ends_with_connection {
        reader.read_to_end(&mut message.body)?;
    }
    Ok(())
}

/// Reads a request; `None` if the peer has closed the connection.
pub fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else { return Ok(None) };
    read_body(reader, &mut message, false)?;
    Ok(Some(message))
}

/// Reads a response. One that ends before its stated length is an error.
pub fn read_response(reader: &mut impl BufRead) -> io::Result<Message> {
    let mut message = read_head(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    read_body(reader, &mut message, true)?;
    Ok(message)
}

/// Encodes a message; adds the length of its body.
pub fn encode(start: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{start}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// An open connection of a client.
pub struct Connection(BufReader<TcpStream>);

impl Connection {
    /// Opens a connection whose reads fail after `patience`.
    pub fn open(to: SocketAddr, patience: Duration) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&to, CONNECT_TIMEOUT)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(patience))?;
        Ok(Self(BufReader::new(stream)))
    }

    /// Sends a request and reads its response.
    pub fn exchange(&mut self, request: &[u8]) -> io::Result<Message> {
        self.0.get_mut().write_all(request)?;
        self.receive()
    }

    /// Reads the response to a request that was sent behind another one.
    pub fn receive(&mut self) -> io::Result<Message> {
        read_response(&mut self.0)
    }
}

/// Sends one request on a connection of its own.
pub fn call(to: SocketAddr, request: &[u8], patience: Duration) -> io::Result<Message> {
    Connection::open(to, patience)?.exchange(request)
}
