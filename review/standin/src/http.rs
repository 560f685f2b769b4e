//! The little HTTP/1.1 that the stand-ins need.

use std::collections::BTreeMap;
use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// A message: a request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The first line.
    pub start: String,
    /// Header fields, names in lower case.
    pub headers: BTreeMap<String, String>,
    /// The body as far as it came.
    pub body: Vec<u8>,
    /// Whether the body is complete.
    pub complete: bool,
}

impl Message {
    /// A header field, or an empty text.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    /// Status of a response. 0: it has none.
    pub fn status(&self) -> u16 {
        let mut words = self.start.split(' ');
        words.nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }

    /// Path of a request.
    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }
}

/// Reads one message with a length or in chunks, or up to the end of the connection if
/// `until_close`. `Ok(None)`: the connection ended before its first byte.
pub fn read(
    stream: &mut impl Read,
    rest: &mut Vec<u8>,
    until_close: bool,
) -> io::Result<Option<Message>> {
    let mut buf = std::mem::take(rest);
    let end = loop {
        if let Some(end) = find(&buf, b"\r\n\r\n") {
            break end;
        }
        if !fill(stream, &mut buf)? {
            return Ok(None);
        }
    };
    let head = String::from_utf8_lossy(&buf[..end]).into_owned();
    let mut lines = head.split("\r\n");
    let mut message = Message {
        start: lines.next().unwrap_or_default().to_owned(),
        ..Message::default()
    };
    for line in lines {
        if let Some((name, value)) = line.split_once(':') {
            let name = name.trim().to_ascii_lowercase();
            message.headers.insert(name, value.trim().to_owned());
        }
    }
    let mut body = buf.split_off(end + 4);
    let length = message.header("content-length").parse::<usize>().ok();
    if message.header("transfer-encoding") == "chunked" {
        loop {
            if let Some((text, used)) = unchunk(&body) {
                *rest = body.split_off(used);
                message.body = text;
                message.complete = true;
                return Ok(Some(message));
            }
            if !fill(stream, &mut body)? {
                message.body = body;
                return Ok(Some(message));
            }
        }
    }
    let Some(length) = length else {
        if until_close {
            while fill(stream, &mut body)? {}
            message.body = body;
        } else {
            *rest = body;
        }
        message.complete = true;
        return Ok(Some(message));
    };
    while body.len() < length {
        if !fill(stream, &mut body)? {
            message.body = body;
            return Ok(Some(message));
        }
    }
    *rest = body.split_off(length);
    message.body = body;
    message.complete = true;
    Ok(Some(message))
}

/// Sends `bytes` on a new connection and reads the answer.
pub fn exchange(addr: SocketAddr, bytes: &[u8], timeout: Duration) -> io::Result<Message> {
    let mut tcp = TcpStream::connect_timeout(&addr, CONNECT_TIMEOUT)?;
    tcp.set_nodelay(true)?;
    tcp.set_read_timeout(Some(timeout))?;
    tcp.write_all(bytes)?;
    let message = read(&mut tcp, &mut Vec::new(), true)?;
    message.ok_or_else(|| io::Error::from(io::ErrorKind::UnexpectedEof))
}

fn fill(stream: &mut impl Read, buf: &mut Vec<u8>) -> io::Result<bool> {
    let mut some = [0; 16 << 10];
    let len = stream.read(&mut some)?;
    buf.extend_from_slice(&some[..len]);
    Ok(len > 0)
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes.windows(wanted.len()).position(|some| some == wanted)
}

/// The text of a complete chunked body, and its length on the wire.
fn unchunk(bytes: &[u8]) -> Option<(Vec<u8>, usize)> {
    let mut text = Vec::new();
    let mut at = 0;
    loop {
        let line = find(&bytes[at..], b"\r\n")?;
        let size = std::str::from_utf8(&bytes[at..at + line]).ok()?;
        let size = usize::from_str_radix(size.split(';').next()?.trim(), 16).ok()?;
        at += line + 2;
        if bytes.len() < at + size + 2 {
            return None;
        }
        text.extend_from_slice(&bytes[at..at + size]);
        at += size + 2;
        if size == 0 {
            return Some((text, at));
        }
    }
}
