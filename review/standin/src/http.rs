//! The little HTTP that servers, the operator and the platform speak.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

/// A request as it arrived.
pub struct Request {
    pub path: String,
    pub head: Vec<(String, String)>,
    pub body: String,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }
}

/// The bytes of a request.
pub fn request(method: &str, path: &str, head: &[(&str, String)], body: &str) -> String {
    let mut text = format!("{method} {path} HTTP/1.1\r\nHost: portspoke\r\nContent-Length: {}\r\n", body.len());
    if !body.is_empty() {
        text += "Content-Type: application/json\r\n";
    }
    for (name, value) in head {
        text += &format!("{name}: {value}\r\n");
    }
    text + "\r\n" + body
}

/// Reads a head and a body; the first line and the rest.
fn message(io: &mut TcpStream, until: Instant) -> Option<(String, Vec<(String, String)>, String)> {
    let mut data = Vec::new();
    let mut room = [0u8; 4096];
    let mut whole = None;
    loop {
        if whole.is_none()
            && let Some(at) = data.windows(4).position(|w| w == b"\r\n\r\n")
        {
            let text = String::from_utf8_lossy(&data[..at]).into_owned();
            let mut lines = text.split("\r\n");
            let first = lines.next()?.to_string();
            let head: Vec<(String, String)> = lines
                .filter_map(|l| l.split_once(':'))
                .map(|(n, v)| (n.trim().to_lowercase(), v.trim().to_string()))
                .collect();
            let length = head.iter().find(|(n, _)| n == "content-length").and_then(|(_, v)| v.parse().ok());
            whole = Some((first, head, at + 4, at + 4 + length.unwrap_or(0)));
        }
        if let Some((first, head, start, end)) = &whole
            && data.len() >= *end
        {
            return Some((first.clone(), head.clone(), String::from_utf8_lossy(&data[*start..*end]).into_owned()));
        }
        let left = until.checked_duration_since(Instant::now())?;
        io.set_read_timeout(Some(left.max(Duration::from_millis(1)))).ok()?;
        match io.read(&mut room) {
            Ok(0) | Err(_) => return None,
            Ok(n) => data.extend_from_slice(&room[..n]),
        }
    }
}

/// Reads one request.
pub fn read(io: &mut TcpStream, span: Duration) -> Option<Request> {
    let (first, head, body) = message(io, Instant::now() + span)?;
    Some(Request { path: first.split(' ').nth(1)?.into(), head, body })
}

/// Sends one request on a connection of its own; code and body, if they come within `span`.
pub fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    head: &[(&str, String)],
    body: &str,
    span: Duration,
) -> Option<(u16, String)> {
    let until = Instant::now() + span;
    let mut io = TcpStream::connect_timeout(&addr, span).ok()?;
    io.set_nodelay(true).ok()?;
    io.write_all(request(method, path, head, body).as_bytes()).ok()?;
    let (first, _, body) = message(&mut io, until)?;
    Some((first.split(' ').nth(1)?.parse().ok()?, body))
}
