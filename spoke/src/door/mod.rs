//! The HTTP door of a spoke: callers, operators, servers, status.

mod show;

use std::rc::Rc;

use base::{
    Kind,
    edge::refuse,
    http::{Ask, Return, Session},
    seam::Local,
};
use wire::relay::Relay;

use crate::work::Caller;

pub use show::StatusPages;

/// One connection: a caller's session, or an operator or server passing by.
pub struct Guest {
    pub caller: Caller,
    pub relay: Rc<Relay>,
    pub show: Rc<StatusPages>,
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
        if !matches!(ask.parts()[..], ["ops", ..] | ["report"]) {
            return Box::pin(async { refuse(Kind::NoPath, "", None) });
        }
        let relay = self.relay.clone();
        Box::pin(async move { relay.pass(ask).await })
    }

    fn free(&self) -> bool {
        self.caller.free()
    }
}
