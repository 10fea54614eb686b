//! HTTP/1.1 as far as the stand-ins need it: heads, bodies with a length or in chunks.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// First line, without its end.
    pub first_line: String,
    /// Names in lower case, with values.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Value of a header; empty if there is none.
    pub fn header(&self, name: &str) -> &str {
        self.headers.iter().find(|(n, _)| n == name).map_or("", |(_, value)| value)
    }

    /// Second word of the first line: path of a request, status of an answer.
    pub fn second_word(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }

    /// Status of an answer; 0 if it has none.
    pub fn status(&self) -> u16 {
        self.second_word().parse().unwrap_or(0)
    }
}

/// Reads messages from a connection, with what was read beyond the last one.
pub struct Reader<S> {
    pub stream: S,
    rest: Vec<u8>,
}

impl<S: Read> Reader<S> {
    pub fn new(stream: S) -> Self {
        Self { stream, rest: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut buf = [0; 16 * 1024];
        match self.stream.read(&mut buf)? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            len => {
                self.rest.extend_from_slice(&buf[..len]);
                Ok(())
            }
        }
    }

    fn take(&mut self, len: usize) -> io::Result<Vec<u8>> {
        while self.rest.len() < len {
            self.fill()?;
        }
        let rest = self.rest.split_off(len);
        Ok(std::mem::replace(&mut self.rest, rest))
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.rest.windows(2).position(|w| w == b"\r\n") {
                let line = self.take(end + 2)?;
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            self.fill()?;
        }
    }

    /// Reads a head only.
    pub fn head(&mut self) -> io::Result<Message> {
        let first_line = self.line()?;
        let mut headers = Vec::new();
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Ok(Message { first_line, headers, body: Vec::new() });
            }
            let (name, value) = line.split_once(':').unwrap_or((&line, ""));
            headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }

    /// Reads a message that has a length or chunks; without either its body is empty.
    pub fn message(&mut self) -> io::Result<Message> {
        let mut message = self.head()?;
        if message.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
            loop {
                let line = self.line()?;
                let len = usize::from_str_radix(line.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
                let chunk = self.take(len + 2)?;
                message.body.extend_from_slice(&chunk[..len]);
                if len == 0 {
                    return Ok(message);
                }
            }
        }
        let len = message.header("content-length").parse().unwrap_or(0);
        message.body = self.take(len)?;
        Ok(message)
    }
}

/// Writes an answer with a length.
pub fn answer(
    stream: &mut impl Write,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut bytes = format!("HTTP/1.1 {status}\r\n").into_bytes();
    for (name, value) in headers {
        bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    bytes.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Opens a connection, and bounds all its reads and writes by `limit`.
pub fn connect(to: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_write_timeout(Some(limit))?;
    Ok(stream)
}

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, len: u32) -> i32;
    #[link_name = "connect"]
    fn connect_socket(socket: i32, addr: *const SocketAddrV4Bytes, len: u32) -> i32;
}

/// An IPv4 address as the system takes it.
#[repr(C)]
struct SocketAddrV4Bytes {
    family: u16,
    port: [u8; 2],
    ip: [u8; 4],
    zero: [u8; 8],
}

/// As [`connect`], with the receive buffer and the segments of a client behind a network: loopback would otherwise take
/// megabytes that nobody reads.
pub fn connect_narrow(to: SocketAddr, limit: Duration) -> io::Result<TcpStream> {
    const AF_INET: i32 = 2;
    const SOCK_STREAM: i32 = 1;
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    const IPPROTO_TCP: i32 = 6;
    const TCP_MAXSEG: i32 = 2;
    let SocketAddr::V4(v4) = to else { return Err(io::ErrorKind::Unsupported.into()) };
    let addr = SocketAddrV4Bytes {
        family: AF_INET as u16,
        port: to.port().to_be_bytes(),
        ip: v4.ip().octets(),
        zero: [0; 8],
    };
    // SAFETY: the socket is new and owned here, and all pointers are to live values of the stated lengths.
    let stream = unsafe {
        let fd = socket(AF_INET, SOCK_STREAM, 0);
        if fd < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = <TcpStream as std::os::fd::FromRawFd>::from_raw_fd(fd);
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &(16 * 1024), 4);
        setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &1_400, 4);
        if connect_socket(fd, &addr, 16) != 0 {
            return Err(io::Error::last_os_error());
        }
        stream
    };
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    Ok(stream)
}

/// Sends one request on a new connection and reads the answer.
pub fn call(to: SocketAddr, request: &[u8], limit: Duration) -> io::Result<Message> {
    let mut stream = connect(to, limit)?;
    stream.write_all(request)?;
    Reader::new(stream).message()
}

/// Text of a request.
pub fn request(method: &str, path: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("{method} {path} HTTP/1.1\r\n").into_bytes();
    for (name, value) in headers {
        bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    if !body.is_empty() || method != "GET" {
        bytes.extend_from_slice(format!("Content-Length: {}\r\n", body.len()).as_bytes());
    }
    bytes.extend_from_slice(b"\r\n");
    bytes.extend_from_slice(body);
    bytes
}

/// Waits until `is_done` or the time is over; tells whether it is done.
pub fn wait_until(limit: Duration, mut is_done: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + limit;
    loop {
        if is_done() {
            return true;
        }
        if Instant::now() >= until {
            return false;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
}
