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

use super::{Ask, Return};
use crate::{
    bell::Bell,
    edge,
    error::{Kept, Kind},
    seam::{Env, Listener, Local, Part, Stream},
};

/// What one connection of a door talks to; dropped when the connection ends.
pub trait Session {
    /// Answers one request.
    fn call(&self, ask: Ask) -> Local<Return>;
    /// Whether the connection may be closed between two requests.
    fn free(&self) -> bool {
        true
    }
}

/// Bounds and the closing state that all connections of a door share.
#[derive(Clone)]
pub struct Door {
    /// Rung when the door begins to close.
    pub bell: Bell,
    /// Whether each answer ends its connection.
    pub closing: Rc<Cell<bool>>,
    /// Whether idle connections end too.
    pub ending: Rc<Cell<bool>>,
    /// Whether sessions end even within a transaction.
    pub expiring: Rc<Cell<bool>>,
    /// Whether statements that still run are given up on.
    pub giving_up: Rc<Cell<bool>>,
    /// Whether it is about to close, so that no new callers should be sent here.
    pub leaving: Rc<Cell<bool>>,
    /// How many connections are open.
    pub open: Rc<Cell<usize>>,
    /// How many may be open.
    pub most: usize,
    /// How large a body may be.
    pub body: usize,
    /// Test switch: a body that was cut short is taken for whole.
    pub cut: Rc<Cell<bool>>,
}

impl Door {
    /// A door with bounds on connections and body size.
    pub fn new(most: usize, body: usize) -> Self {
        Self {
            bell: Bell::default(),
            closing: Rc::default(),
            ending: Rc::default(),
            expiring: Rc::default(),
            giving_up: Rc::default(),
            leaving: Rc::default(),
            open: Rc::default(),
            most,
            body,
            cut: Rc::default(),
        }
    }

    /// Begins to close: no new connections; each one there is ends after its next answer.
    pub fn close(&self) {
        self.closing.set(true);
        self.bell.ring();
    }

    /// Ends idle connections too.
    pub fn end(&self) {
        self.closing.set(true);
        self.ending.set(true);
        self.bell.ring();
    }

    /// Ends sessions within a transaction too, as soon as nothing of it is being run.
    pub fn expire(&self) {
        self.expiring.set(true);
        self.end();
    }

    /// Gives up on whatever still runs: it is answered now, and its connection ends.
    pub fn give_up(&self) {
        self.giving_up.set(true);
        self.expire();
    }
}

/// How many connections over the bound are still told so.
const CROWD: usize = 64;

/// A connection over the bound: one refusal, then it ends.
struct Crowd;

impl Session for Crowd {
    fn call(&self, _ask: Ask) -> Local<Return> {
        let mut out = edge::refuse(Kind::Full, "too many sessions here", Some(Kept::No));
        out.close = true;
        Box::pin(async move { out })
    }
}

/// One open connection of a door; counted until it is dropped.
pub struct Count(Rc<Cell<usize>>);

impl Door {
    /// Counts a connection as open.
    pub fn count(&self) -> Count {
        self.open.set(self.open.get() + 1);
        Count(self.open.clone())
    }
}

impl Drop for Count {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// A listener that its door may give up.
pub type Slot = Rc<RefCell<Option<Rc<dyn Listener>>>>;

/// The next connection at a door. Once the door closes the listener is given up, and there is none any more.
pub async fn next(env: &Env, sock: &Slot, door: &Door) -> Box<dyn Stream> {
    loop {
        let Some(lis) = sock.borrow().clone() else { return std::future::pending().await };
        let close = door.bell.until(|| door.closing.get().then_some(()));
        match select(lis.accept(), pin!(close)).await {
            Either::Left((Ok(io), _)) => return io,
            Either::Left((Err(e), _)) => {
                env.log(Part::Door, format!("accept failed: {e}"));
                env.sleep(std::time::Duration::from_millis(50)).await;
            }
            Either::Right(_) => drop(sock.borrow_mut().take()),
        }
    }
}

/// Accepts connections until the door closes; whoever is in the queue by then is still let in.
pub async fn serve(env: Env, sock: Slot, door: Door, make: Rc<dyn Fn() -> Rc<dyn Session>>) -> std::io::Result<()> {
    loop {
        let io = next(&env, &sock, &door).await;
        if door.open.get() >= door.most + CROWD {
            env.log(Part::Door, "too many connections; one was closed unheard");
            continue;
        }
        let full = door.open.get() >= door.most;
        let count = door.count();
        let sess = if full { Rc::new(Crowd) } else { make() };
        let door = door.clone();
        env.spawn(async move {
            let _count = count;
            one(io, door, sess).await;
        })
        .detach();
    }
}

async fn one(io: Box<dyn Stream>, door: Door, sess: Rc<dyn Session>) {
    let call = {
        let (sess, door) = (sess.clone(), door.clone());
        service_fn(move |req: Request<Incoming>| {
            let (sess, door) = (sess.clone(), door.clone());
            async move {
                let mut out = match read(req, door.body, door.cut.get()).await {
                    Ok(ask) => sess.call(ask).await,
                    Err(kind) => edge::refuse(kind, "", None),
                };
                if door.closing.get() && sess.free() {
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
        let bell = door.bell.clone();
        let seen = bell.count();
        if door.ending.get() && !told && sess.free() {
            told = true;
            conn.as_mut().graceful_shutdown();
        }
        let ring = bell.after(seen).fuse();
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

async fn read(req: Request<Incoming>, most: usize, cut: bool) -> Result<Ask, Kind> {
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
        Err(e) if e.is::<LengthLimitError>() => return Err(Kind::TooLarge),
        Err(_) => return Err(Kind::Malformed),
    };
    let path = head.uri.path_and_query().map(|p| p.as_str().to_string()).unwrap_or_default();
    Ok(Ask { method: head.method, path, head: head.headers, body })
}

fn write(out: Return) -> Response<Full<Bytes>> {
    let mut res = Response::builder().status(out.code);
    for (n, v) in &out.head {
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
