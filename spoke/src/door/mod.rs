//! The HTTP door of a spoke: callers, operators, servers, status.

mod show;

use std::rc::Rc;

use base::{
    Bounds, Kind,
    edge::refuse,
    http::{Ask, Return, Session},
    seam::Local,
};
use wire::relay::Relay;

use crate::work::Caller;

pub use show::Show;

/// One connection: a caller's session, or an operator or server passing by.
pub struct Guest {
    pub caller: Caller,
    pub relay: Rc<Relay>,
    pub bounds: Bounds,
    pub show: Rc<Show>,
}

impl Session for Guest {
    fn call(&self, ask: Ask) -> Local<Return> {
        let path = ask.path.split('?').next().unwrap_or("");
        if path.starts_with("/db/") {
            return self.caller.call(ask);
        }
        if ask.method == hyper::Method::GET
            && let Some(out) = self.show.page(path)
        {
            return Box::pin(async move { out });
        }
        let (relay, bounds) = (self.relay.clone(), self.bounds.clone());
        Box::pin(async move { pass(&relay, &bounds, ask).await })
    }

    fn free(&self) -> bool {
        self.caller.free()
    }
}

/// Hands a request up the tree to the leading hub and brings back its answer.
async fn pass(relay: &Relay, bounds: &Bounds, ask: Ask) -> Return {
    if !matches!(ask.parts()[..], ["ops", ..] | ["report"]) {
        return refuse(Kind::NoPath, "", None);
    }
    let read = ask.method == hyper::Method::GET || ask.path == "/report";
    match relay.ask(ask.method.as_str(), &ask.path, ask.body, bounds.call() * 3).await {
        Some(r) => {
            let mut out = Return::new(r.code as u16, r.body).with("content-type", "application/json");
            if r.retry > 0 {
                out = out.with("retry-after", r.retry);
            }
            out
        }
        None if read => refuse(Kind::Unconfirmed, "no answer from the leading hub", None),
        None => refuse(Kind::Unknown, "no answer from the leading hub; read back before sending it again", None),
    }
}
