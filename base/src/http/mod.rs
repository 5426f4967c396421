//! HTTP/1.1 client and server: hyper on the streams and tasks of the runtime, with one task for each connection.

mod client;
mod server;

pub use client::{CallError, Client};
pub use server::{ConnectionGuard, Endpoint, ListenerSlot, RequestHandler, accept, serve};

use bytes::Bytes;
use hyper::HeaderMap;

/// A request with its whole body.
#[derive(Clone, Debug)]
pub struct HttpRequest {
    pub method: hyper::Method,
    /// The path with its query.
    pub path: String,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl HttpRequest {
    /// A header as text; `None` if it is missing or not text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|v| v.to_str().ok())
    }

    /// The segments of the path, without its query.
    pub fn path_segments(&self) -> Vec<&str> {
        let path = self.path.split('?').next().unwrap_or("");
        path.split('/').filter(|p| !p.is_empty()).collect()
    }
}

/// A response with its whole body.
#[derive(Clone, Debug)]
pub struct HttpResponse {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Bytes,
    /// Whether the connection is closed after this response.
    pub close: bool,
}

impl HttpResponse {
    /// A response without headers.
    pub fn new(status: u16, body: impl Into<Bytes>) -> Self {
        Self { status, headers: Vec::new(), body: body.into(), close: false }
    }

    /// Adds a header.
    pub fn with_header(mut self, name: &str, value: impl ToString) -> Self {
        self.headers.push((name.into(), value.to_string()));
        self
    }

    /// A header by its name in lower case; `None` if it is missing.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n == name).map(|(_, v)| v.as_str())
    }
}
