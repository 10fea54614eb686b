//! Blocking HTTP/1.1 helpers on plain sockets.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, SocketAddrV4, TcpStream};
use std::os::fd::{AsRawFd, FromRawFd};
use std::time::Duration;

/// A request or an answer, as it was read.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// First line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the whole body arrived.
    pub is_whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    /// Value of a parameter of the query.
    pub fn param(&self, name: &str) -> Option<String> {
        let query = self.target().split_once('?')?.1;
        query.split('&').find_map(|part| part.split_once('=').filter(|(n, _)| *n == name).map(|(_, v)| decode(v)))
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut out = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = (bytes[at] == b'%').then(|| bytes.get(at + 1..at + 3)).flatten();
        match hex.and_then(|h| std::str::from_utf8(h).ok()).and_then(|h| u8::from_str_radix(h, 16).ok()) {
            Some(byte) => {
                out.push(byte);
                at += 3;
            }
            None => {
                out.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Reads the head of a message; `None` at the end of the stream.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut start = String::new();
    if reader.read_line(&mut start)? == 0 {
        return Ok(None);
    }
    let mut message = Message { start: start.trim_end().to_owned(), ..Message::default() };
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads the body of a message with a stated length, in chunks, or (an answer only) up to the end of the stream.
pub fn read_body(reader: &mut impl BufRead, message: &mut Message, is_answer: bool) -> io::Result<()> {
    let is_chunked = message.header("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked"));
    if is_chunked {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line)?;
            let len = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
            let mut chunk = vec![0; len + 2];
            reader.read_exact(&mut chunk)?;
            message.body.extend_from_slice(&chunk[..len]);
            if len == 0 {
                message.is_whole = true;
                return Ok(());
            }
        }
    }
    let stated = message.header("content-length").and_then(|v| v.parse::<usize>().ok());
    match stated {
        Some(len) => {
            let mut body = vec![0; len];
            let mut read = 0;
            while read < len {
                let n = reader.read(&mut body[read..])?;
                if n == 0 {
                    body.truncate(read);
                    message.body = body;
                    return Err(io::ErrorKind::UnexpectedEof.into());
                }
                read += n;
            }
            message.body = body;
            message.is_whole = true;
        }
        None if is_answer => {
            reader.read_to_end(&mut message.body)?;
            message.is_whole = true;
        }
        None => message.is_whole = true,
    }
    Ok(())
}

/// Reads a whole request; `None` at the end of the stream.
pub fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else { return Ok(None) };
    read_body(reader, &mut message, false)?;
    Ok(Some(message))
}

/// Reads a whole answer.
pub fn read_answer(reader: &mut impl BufRead) -> io::Result<Message> {
    let Some(mut message) = read_head(reader)? else { return Err(io::ErrorKind::UnexpectedEof.into()) };
    read_body(reader, &mut message, true)?;
    Ok(message)
}

/// Sends a request on a new connection and reads the answer.
pub fn call(addr: SocketAddr, request: &[u8], timeout: Duration) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(timeout))?;
    stream.write_all(request)?;
    read_answer(&mut BufReader::new(stream))
}

const AF_INET: i32 = 2;
const SOCK_STREAM: i32 = 1;
const IPPROTO_TCP: i32 = 6;
const TCP_MAXSEG: i32 = 2;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;

#[repr(C)]
struct SockAddrIn {
    family: u16,
    port: u16,
    addr: u32,
    zero: [u8; 8],
}

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, len: u32) -> i32;
    fn connect(fd: i32, addr: *const SockAddrIn, len: u32) -> i32;
}

/// Opens a connection as over a network: with segments of an ordinary size, and with a receive buffer of the stated
/// size, so that the sender keeps what this side doesn't read.
pub fn connect_narrow(addr: SocketAddrV4, receive_bytes: i32) -> io::Result<TcpStream> {
    // SAFETY: plain calls of the system with values that live as long as the calls.
    unsafe {
        let fd = socket(AF_INET, SOCK_STREAM, 0);
        if fd < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(fd);
        let segment = 1_400;
        setsockopt(stream.as_raw_fd(), IPPROTO_TCP, TCP_MAXSEG, &segment, 4);
        setsockopt(stream.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &receive_bytes, 4);
        let to = SockAddrIn {
            family: AF_INET as u16,
            port: addr.port().to_be(),
            addr: u32::from_ne_bytes(addr.ip().octets()),
            zero: [0; 8],
        };
        if connect(fd, &to, size_of::<SockAddrIn>() as u32) != 0 {
            return Err(io::Error::last_os_error());
        }
        Ok(stream)
    }
}
