//! The HTTP server.

use std::{
    cell::{Cell, RefCell},
    convert::Infallible,
    future::{Future, poll_fn},
    pin::pin,
    rc::Rc,
    task::Poll,
};

use bytes::Bytes;
use futures::{
    FutureExt,
    future::{Either, select},
    pin_mut, select_biased,
};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::{Request, Response, body::Incoming, server::conn::http1, service::service_fn};

use super::{HttpRequest, HttpResponse};
use crate::{
    edge,
    error::{ErrorKind, WriteOutcome},
    notify::Notify,
    runtime::{Component, Env, Listener, LocalFuture, Stream},
};

/// Handles the requests of one connection; dropped when the connection ends.
pub trait RequestHandler {
    /// Handles one request.
    fn handle(&self, request: HttpRequest) -> LocalFuture<HttpResponse>;
    /// Whether the connection may be closed between two requests.
    fn can_close(&self) -> bool {
        true
    }
}

/// An endpoint for connections: their limits and closing state. Clones share the state.
#[derive(Clone)]
pub struct Endpoint {
    /// Notifies the connections when the closing state changes.
    pub state_changed: Notify,
    /// Whether the endpoint is closing: each connection ends after its next response.
    pub closing: Rc<Cell<bool>>,
    /// Whether idle connections are closed as well.
    pub closing_idle: Rc<Cell<bool>>,
    /// Whether sessions are closed even within a transaction.
    pub closing_transactions: Rc<Cell<bool>>,
    /// Whether statements in progress are aborted.
    pub aborting_statements: Rc<Cell<bool>>,
    /// Whether the endpoint is about to close, so that no new clients should be directed to it.
    pub draining: Rc<Cell<bool>>,
    /// The number of open connections.
    pub open_connections: Rc<Cell<usize>>,
    /// How many connections may be open.
    pub max_connections: usize,
    /// The largest request body, in bytes.
    pub max_body_bytes: usize,
    /// For tests only: whether a truncated body is accepted as complete.
    pub accept_truncated_bodies: Rc<Cell<bool>>,
}

impl Endpoint {
    /// An open endpoint with limits on the number of connections and on the size of request bodies.
    pub fn new(max_connections: usize, max_body_bytes: usize) -> Self {
        Self {
            state_changed: Notify::default(),
            closing: Rc::default(),
            closing_idle: Rc::default(),
            closing_transactions: Rc::default(),
            aborting_statements: Rc::default(),
            draining: Rc::default(),
            open_connections: Rc::default(),
            max_connections,
            max_body_bytes,
            accept_truncated_bodies: Rc::default(),
        }
    }

    /// Starts to close: accepts no new connections; each open one ends after its next response.
    pub fn close(&self) {
        self.closing.set(true);
        self.state_changed.notify_waiters();
    }

    /// Also closes idle connections.
    pub fn close_idle(&self) {
        self.closing.set(true);
        self.closing_idle.set(true);
        self.state_changed.notify_waiters();
    }

    /// Also closes sessions within a transaction, as soon as none of its statements is in progress.
    pub fn close_transactions(&self) {
        self.closing_transactions.set(true);
        self.close_idle();
    }

    /// Also aborts statements in progress: they are answered at once, and their connections are closed.
    pub fn abort_statements(&self) {
        self.aborting_statements.set(true);
        self.close_transactions();
    }
}

/// How many connections above the limit are accepted to be rejected with an error response.
const MAX_REJECTED_CONNECTIONS: usize = 64;

/// The handler of a connection above the limit: sends one error response and closes the connection.
struct RejectOverloaded;

impl RequestHandler for RejectOverloaded {
    fn handle(&self, _request: HttpRequest) -> LocalFuture<HttpResponse> {
        let mut response =
            edge::error_response(ErrorKind::Overloaded, "too many sessions here", Some(WriteOutcome::NotCommitted));
        response.close = true;
        Box::pin(async move { response })
    }
}

/// Counts an open connection of an endpoint until it is dropped.
pub struct ConnectionGuard(Rc<Cell<usize>>);

impl Endpoint {
    /// Counts a connection as open.
    pub fn count_connection(&self) -> ConnectionGuard {
        self.open_connections.set(self.open_connections.get() + 1);
        ConnectionGuard(self.open_connections.clone())
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// A listener, which is removed when its endpoint closes.
pub type ListenerSlot = Rc<RefCell<Option<Rc<dyn Listener>>>>;

/// Accepts the next connection. Once the endpoint closes, the listener is dropped and this waits forever.
pub async fn accept(env: &Env, slot: &ListenerSlot, endpoint: &Endpoint) -> Box<dyn Stream> {
    loop {
        let Some(listener) = slot.borrow().clone() else { return std::future::pending().await };
        let closing = endpoint.state_changed.wait_until(|| endpoint.closing.get().then_some(()));
        match select(listener.accept(), pin!(closing)).await {
            Either::Left((Ok(io), _)) => return io,
            Either::Left((Err(e), _)) => {
                env.log(Component::Endpoint, format!("accepting a connection failed: {e}"));
                env.sleep(std::time::Duration::from_millis(50)).await;
            }
            Either::Right(_) => drop(slot.borrow_mut().take()),
        }
    }
}

/// Accepts connections until the endpoint closes and serves each with a handler created by `make_handler`. Connections
/// that are in the listener's queue when the endpoint closes are still accepted.
pub async fn serve(
    env: Env,
    slot: ListenerSlot,
    endpoint: Endpoint,
    make_handler: Rc<dyn Fn() -> Rc<dyn RequestHandler>>,
) -> std::io::Result<()> {
    loop {
        let io = accept(&env, &slot, &endpoint).await;
        if endpoint.open_connections.get() >= endpoint.max_connections + MAX_REJECTED_CONNECTIONS {
            env.log(Component::Endpoint, "too many connections; closed one without a response");
            continue;
        }
        let is_full = endpoint.open_connections.get() >= endpoint.max_connections;
        let guard = endpoint.count_connection();
        let handler = if is_full { Rc::new(RejectOverloaded) } else { make_handler() };
        let endpoint = endpoint.clone();
        env.spawn(async move {
            let _guard = guard;
            serve_connection(io, endpoint, handler).await;
        })
        .detach();
    }
}

async fn serve_connection(io: Box<dyn Stream>, endpoint: Endpoint, handler: Rc<dyn RequestHandler>) {
    let service =
        {
            let (handler, endpoint) = (handler.clone(), endpoint.clone());
            service_fn(move |request: Request<Incoming>| {
                let (handler, endpoint) = (handler.clone(), endpoint.clone());
                async move {
                    let mut response =
                        match read_request(request, endpoint.max_body_bytes, endpoint.accept_truncated_bodies.get())
                            .await
                        {
                            Ok(request) => handler.handle(request).await,
                            Err(kind) => edge::error_response(kind, "", None),
                        };
                    if endpoint.closing.get() && handler.can_close() {
                        response.close = true;
                    }
                    Ok::<_, Infallible>(build_response(response))
                }
            })
        };
    let connection = http1::Builder::new().serve_connection(io, service);
    pin_mut!(connection);
    let mut is_shutting_down = false;
    loop {
        let state_changed = endpoint.state_changed.clone();
        let seen = state_changed.generation();
        if endpoint.closing_idle.get() && !is_shutting_down && handler.can_close() {
            is_shutting_down = true;
            connection.as_mut().graceful_shutdown();
        }
        let change = state_changed.changed_since(seen).fuse();
        pin_mut!(change);
        select_biased! {
            _ = poll_fn(|cx| match connection.as_mut().poll(cx) {
                Poll::Ready(_) => Poll::Ready(()),
                Poll::Pending => Poll::Pending,
            }).fuse() => return,
            _ = change => {}
        }
    }
}

/// Reads the whole request; `accept_truncated` is for tests only.
async fn read_request(
    request: Request<Incoming>,
    max_body_bytes: usize,
    accept_truncated: bool,
) -> Result<HttpRequest, ErrorKind> {
    let (head, body) = request.into_parts();
    let mut body = Limited::new(body, max_body_bytes);
    let mut received: Vec<u8> = Vec::new();
    let result = loop {
        match body.frame().await {
            None => break Ok(Bytes::from(received)),
            Some(Ok(frame)) => received.extend_from_slice(frame.data_ref().map_or(&[][..], |d| d)),
            Some(Err(_)) if accept_truncated => break Ok(Bytes::from(received)),
            Some(Err(e)) => break Err(e),
        }
    };
    let body = match result {
        Ok(body) => body,
        Err(e) if e.is::<LengthLimitError>() => return Err(ErrorKind::TooLarge),
        Err(_) => return Err(ErrorKind::Malformed),
    };
    let path = head.uri.path_and_query().map(|p| p.as_str().to_string()).unwrap_or_default();
    Ok(HttpRequest { method: head.method, path, headers: head.headers, body })
}

fn build_response(response: HttpResponse) -> Response<Full<Bytes>> {
    let mut builder = Response::builder().status(response.status);
    for (name, value) in &response.headers {
        builder = builder.header(name, value);
    }
    if response.close {
        builder = builder.header("connection", "close");
    }
    builder.body(Full::new(response.body)).unwrap_or_else(|_| {
        let mut response = Response::new(Full::new(Bytes::new()));
        *response.status_mut() = hyper::StatusCode::INTERNAL_SERVER_ERROR;
        response
    })
}
