//! HTTP/1.1 through hyper, over the seams: one task for each connection.

mod client;
mod server;

pub use client::{Client, Fault};
pub use server::{Count, Door, Session, Slot, next, serve};

use bytes::Bytes;
use hyper::HeaderMap;

/// A request read whole.
#[derive(Clone, Debug)]
pub struct Ask {
    pub method: hyper::Method,
    pub path: String,
    pub head: HeaderMap,
    pub body: Bytes,
}

impl Ask {
    /// A header as text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.get(name).and_then(|v| v.to_str().ok())
    }

    /// The path's parts, without its query.
    pub fn parts(&self) -> Vec<&str> {
        let path = self.path.split('?').next().unwrap_or("");
        path.split('/').filter(|p| !p.is_empty()).collect()
    }
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Return {
    pub code: u16,
    pub head: Vec<(String, String)>,
    pub body: Bytes,
    /// Close the connection after it.
    pub close: bool,
}

impl Return {
    /// An answer with a body.
    pub fn new(code: u16, body: impl Into<Bytes>) -> Self {
        Self { code, head: Vec::new(), body: body.into(), close: false }
    }

    /// Adds a header.
    pub fn with(mut self, name: &str, value: impl ToString) -> Self {
        self.head.push((name.into(), value.to_string()));
        self
    }

    /// A header as text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }
}
