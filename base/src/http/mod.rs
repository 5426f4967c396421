//! HTTP/1.1 through hyper, over the seams: one task for each connection.

mod client;
mod server;

pub use client::{CallError, Client};
pub use server::{ConnectionGuard, Endpoint, ListenerSlot, RequestHandler, accept, serve};

use bytes::Bytes;
use hyper::HeaderMap;

/// A request read whole.
#[derive(Clone, Debug)]
pub struct HttpRequest {
    pub method: hyper::Method,
    pub path: String,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl HttpRequest {
    /// A header as text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|v| v.to_str().ok())
    }

    /// The path's parts, without its query.
    pub fn path_segments(&self) -> Vec<&str> {
        let path = self.path.split('?').next().unwrap_or("");
        path.split('/').filter(|p| !p.is_empty()).collect()
    }
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct HttpResponse {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Bytes,
    /// Close the connection after it.
    pub close: bool,
}

impl HttpResponse {
    /// An answer with a body.
    pub fn new(code: u16, body: impl Into<Bytes>) -> Self {
        Self { status: code, headers: Vec::new(), body: body.into(), close: false }
    }

    /// Adds a header.
    pub fn with_header(mut self, name: &str, value: impl ToString) -> Self {
        self.headers.push((name.into(), value.to_string()));
        self
    }

    /// A header as text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }
}
