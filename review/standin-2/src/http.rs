//! HTTP/1.1 as the stand-ins need it: heads, bodies with a length, and chunked streams.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The head of a request or response: its first line and its headers.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// The value of a header, whatever its case.
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter();
        found
            .find(|(key, _)| key.eq_ignore_ascii_case(name))
            .map(|(_, value)| value.as_str())
    }

    /// Word `at` of the first line.
    pub fn word(&self, at: usize) -> &str {
        self.line.split(' ').nth(at).unwrap_or_default()
    }

    fn length(&self) -> Option<usize> {
        self.get("content-length")?.trim().parse().ok()
    }

    fn is_chunked(&self) -> bool {
        self.get("transfer-encoding")
            .is_some_and(|value| value.eq_ignore_ascii_case("chunked"))
    }
}

/// Reads a head. `None`: the connection ended before its first byte.
pub fn read_head(from: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if from.read_line(&mut line)? == 0 {
            return if head.line.is_empty() {
                Ok(None)
            } else {
                Err(io::ErrorKind::UnexpectedEof.into())
            };
        }
        let line = line.trim_end();
        if line.is_empty() {
            if head.line.is_empty() {
                continue;
            }
            return Ok(Some(head));
        }
        if head.line.is_empty() {
            head.line = line.to_owned();
        } else if let Some((key, value)) = line.split_once(':') {
            let pair = (key.trim().to_owned(), value.trim().to_owned());
            head.headers.push(pair);
        }
    }
}

/// Reads the whole body that `head` announces. A response without a length ends with its connection.
pub fn read_body(from: &mut impl BufRead, head: &Head, is_response: bool) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if head.is_chunked() {
        loop {
            let mut line = String::new();
            if from.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let size = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
            let mut chunk = vec![0; size + 2];
            from.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(body);
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }
    match head.length() {
        Some(length) => {
            body.resize(length, 0);
            from.read_exact(&mut body)?;
        }
        None if is_response => {
            from.read_to_end(&mut body)?;
        }
        None => {}
    }
    Ok(body)
}

/// A response.
#[derive(Clone, Debug)]
pub struct Response {
    pub status: u16,
    pub head: Head,
    pub body: Vec<u8>,
}

/// Sends one request on a connection and reads its response.
pub fn exchange(stream: &mut BufReader<TcpStream>, request: &[u8]) -> io::Result<Response> {
    stream.get_mut().write_all(request)?;
    let head = read_head(stream)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let body = read_body(stream, &head, true)?;
    let status = head.word(1).parse().unwrap_or(0);
    Ok(Response { status, head, body })
}

/// A connection with the same timeout for each step.
pub fn connect(addr: SocketAddr, timeout: Duration) -> io::Result<BufReader<TcpStream>> {
    let stream = TcpStream::connect_timeout(&addr, timeout)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    Ok(BufReader::new(stream))
}

/// The bytes of a request with a body of known length.
pub fn request(method: &str, path: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!("content-length: {}\r\n\r\n", body.len());
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Makes one call on a connection of its own. `None`: no response in time.
pub fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    body: &[u8],
    timeout: Duration,
) -> Option<Response> {
    let mut stream = connect(addr, timeout).ok()?;
    let host = addr.to_string();
    let headers = [
        ("host", host.as_str()),
        ("content-type", "application/json"),
        ("connection", "close"),
    ];
    exchange(&mut stream, &request(method, path, &headers, body)).ok()
}
