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

/// What one connection of a door talks to; dropped when the connection ends.
pub trait RequestHandler {
    /// Answers one request.
    fn handle(&self, ask: HttpRequest) -> LocalFuture<HttpResponse>;
    /// Whether the connection may be closed between two requests.
    fn can_close(&self) -> bool {
        true
    }
}

/// Bounds and the closing state that all connections of a door share.
#[derive(Clone)]
pub struct Endpoint {
    /// Rung when the door begins to close.
    pub state_changed: Notify,
    /// Whether each answer ends its connection.
    pub closing: Rc<Cell<bool>>,
    /// Whether idle connections end too.
    pub closing_idle: Rc<Cell<bool>>,
    /// Whether sessions end even within a transaction.
    pub closing_transactions: Rc<Cell<bool>>,
    /// Whether statements that still run are given up on.
    pub aborting_statements: Rc<Cell<bool>>,
    /// Whether it is about to close, so that no new callers should be sent here.
    pub draining: Rc<Cell<bool>>,
    /// How many connections are open.
    pub open_connections: Rc<Cell<usize>>,
    /// How many may be open.
    pub max_connections: usize,
    /// How large a body may be.
    pub max_body_bytes: usize,
    /// Test switch: a body that was cut short is taken for whole.
    pub accept_truncated_bodies: Rc<Cell<bool>>,
}

impl Endpoint {
    /// A door with bounds on connections and body size.
    pub fn new(most: usize, body: usize) -> Self {
        Self {
            state_changed: Notify::default(),
            closing: Rc::default(),
            closing_idle: Rc::default(),
            closing_transactions: Rc::default(),
            aborting_statements: Rc::default(),
            draining: Rc::default(),
            open_connections: Rc::default(),
            max_connections: most,
            max_body_bytes: body,
            accept_truncated_bodies: Rc::default(),
        }
    }

    /// Begins to close: no new connections; each one there is ends after its next answer.
    pub fn close(&self) {
        self.closing.set(true);
        self.state_changed.notify_waiters();
    }

    /// Ends idle connections too.
    pub fn close_idle(&self) {
        self.closing.set(true);
        self.closing_idle.set(true);
        self.state_changed.notify_waiters();
    }

    /// Ends sessions within a transaction too, as soon as nothing of it is being run.
    pub fn close_transactions(&self) {
        self.closing_transactions.set(true);
        self.close_idle();
    }

    /// Gives up on whatever still runs: it is answered now, and its connection ends.
    pub fn abort_statements(&self) {
        self.aborting_statements.set(true);
        self.close_transactions();
    }
}

/// How many connections over the bound are still told so.
const CROWD: usize = 64;

/// A connection over the bound: one refusal, then it ends.
struct Crowd;

impl RequestHandler for Crowd {
    fn handle(&self, _ask: HttpRequest) -> LocalFuture<HttpResponse> {
        let mut out =
            edge::error_response(ErrorKind::Overloaded, "too many sessions here", Some(WriteOutcome::NotCommitted));
        out.close = true;
        Box::pin(async move { out })
    }
}

/// One open connection of a door; counted until it is dropped.
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

/// A listener that its door may give up.
pub type ListenerSlot = Rc<RefCell<Option<Rc<dyn Listener>>>>;

/// The next connection at a door. Once the door closes the listener is given up, and there is none any more.
pub async fn accept(env: &Env, sock: &ListenerSlot, door: &Endpoint) -> Box<dyn Stream> {
    loop {
        let Some(lis) = sock.borrow().clone() else { return std::future::pending().await };
        let close = door.state_changed.wait_until(|| door.closing.get().then_some(()));
        match select(lis.accept(), pin!(close)).await {
            Either::Left((Ok(io), _)) => return io,
            Either::Left((Err(e), _)) => {
                env.log(Component::Door, format!("accept failed: {e}"));
                env.sleep(std::time::Duration::from_millis(50)).await;
            }
            Either::Right(_) => drop(sock.borrow_mut().take()),
        }
    }
}

/// Accepts connections until the door closes; whoever is in the queue by then is still let in.
pub async fn serve(
    env: Env,
    sock: ListenerSlot,
    door: Endpoint,
    make: Rc<dyn Fn() -> Rc<dyn RequestHandler>>,
) -> std::io::Result<()> {
    loop {
        let io = accept(&env, &sock, &door).await;
        if door.open_connections.get() >= door.max_connections + CROWD {
            env.log(Component::Door, "too many connections; one was closed unheard");
            continue;
        }
        let full = door.open_connections.get() >= door.max_connections;
        let count = door.count_connection();
        let sess = if full { Rc::new(Crowd) } else { make() };
        let door = door.clone();
        env.spawn(async move {
            let _count = count;
            one(io, door, sess).await;
        })
        .detach();
    }
}

async fn one(io: Box<dyn Stream>, door: Endpoint, sess: Rc<dyn RequestHandler>) {
    let call = {
        let (sess, door) = (sess.clone(), door.clone());
        service_fn(move |req: Request<Incoming>| {
            let (sess, door) = (sess.clone(), door.clone());
            async move {
                let mut out = match read(req, door.max_body_bytes, door.accept_truncated_bodies.get()).await {
                    Ok(ask) => sess.handle(ask).await,
                    Err(kind) => edge::error_response(kind, "", None),
                };
                if door.closing.get() && sess.can_close() {
                    out.close = true;
                }
                Ok::<_, Infallible>(write(out))
            }
        })
    };
    let conn = http1::Builder::new().serve_connection(io, call);
    pin_mut!(conn);
    let mut told = false;
    loop {
        let bell = door.state_changed.clone();
        let seen = bell.generation();
        if door.closing_idle.get() && !told && sess.can_close() {
            told = true;
            conn.as_mut().graceful_shutdown();
        }
        let ring = bell.changed_since(seen).fuse();
        pin_mut!(ring);
        select_biased! {
            _ = poll_fn(|cx| match conn.as_mut().poll(cx) {
                Poll::Ready(_) => Poll::Ready(()),
                Poll::Pending => Poll::Pending,
            }).fuse() => return,
            _ = ring => {}
        }
    }
}

async fn read(req: Request<Incoming>, most: usize, cut: bool) -> Result<HttpRequest, ErrorKind> {
    let (head, body) = req.into_parts();
    let mut body = Limited::new(body, most);
    let mut came: Vec<u8> = Vec::new();
    let all = loop {
        match body.frame().await {
            None => break Ok(Bytes::from(came)),
            Some(Ok(f)) => came.extend_from_slice(f.data_ref().map_or(&[][..], |d| d)),
            Some(Err(_)) if cut => break Ok(Bytes::from(came)),
            Some(Err(e)) => break Err(e),
        }
    };
    let body = match all {
        Ok(b) => b,
        Err(e) if e.is::<LengthLimitError>() => return Err(ErrorKind::TooLarge),
        Err(_) => return Err(ErrorKind::Malformed),
    };
    let path = head.uri.path_and_query().map(|p| p.as_str().to_string()).unwrap_or_default();
    Ok(HttpRequest { method: head.method, path, headers: head.headers, body })
}

fn write(out: HttpResponse) -> Response<Full<Bytes>> {
    let mut res = Response::builder().status(out.status);
    for (n, v) in &out.headers {
        res = res.header(n, v);
    }
    if out.close {
        res = res.header("connection", "close");
    }
    res.body(Full::new(out.body)).unwrap_or_else(|_| {
        let mut r = Response::new(Full::new(Bytes::new()));
        *r.status_mut() = hyper::StatusCode::INTERNAL_SERVER_ERROR;
        r
    })
}
