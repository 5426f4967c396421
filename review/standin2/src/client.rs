//! A client's session over the wire.

use std::{
    io::{BufRead, BufReader, Write},
    net::TcpStream,
    time::Duration,
};

use crate::deployment::DATABASE;

pub struct Session {
    reader: BufReader<TcpStream>,
    stream: TcpStream,
}

/// A whole answer.
#[derive(Debug)]
pub struct Answer {
    /// The stamp, or the error.
    pub result: Result<String, String>,
    pub rows: Vec<String>,
    pub idle: String,
}

impl Session {
    /// Opens a session at a node.
    pub fn open(ip: &str) -> Option<Self> {
        Self::open_database(ip, DATABASE)
    }

    /// Opens a session for a database at a node.
    pub fn open_database(ip: &str, database: &str) -> Option<Self> {
        let address = format!("{ip}:8784").parse().ok()?;
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
        stream.set_nodelay(true).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(3))).ok()?;
        let mut session = Self { reader: BufReader::new(stream.try_clone().ok()?), stream };
        session.stream.write_all(format!("SETUP {database} u1\r\n").as_bytes()).ok()?;
        session.line()?.starts_with("IDLE").then_some(session)
    }

    fn line(&mut self) -> Option<String> {
        let mut line = String::new();
        match self.reader.read_line(&mut line) {
            Ok(n) if n > 0 && line.ends_with("\r\n") => Some(line.trim_end().to_string()),
            _ => None,
        }
    }

    /// Sends a statement and reads its answer; `None` if the connection ended first.
    pub fn query(&mut self, id: &str, text: &str) -> Option<Answer> {
        self.stream.write_all(format!("QUERY {id} {text}\r\n").as_bytes()).ok()?;
        let mut rows = Vec::new();
        let mut result = None;
        loop {
            let line = self.line()?;
            let (verb, rest) = line.split_once(' ').unwrap_or((&line, ""));
            match verb {
                "DATA" => rows.push(rest.to_string()),
                "COMPLETE" => result = Some(Ok(rest.to_string())),
                "ERROR" => result = Some(Err(rest.to_string())),
                "IDLE" => return Some(Answer { result: result?, rows, idle: rest.to_string() }),
                _ => return None,
            }
        }
    }
}
