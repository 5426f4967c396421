//! The HTTP door of a spoke: callers, operators, servers, status.

mod show;

use std::rc::Rc;

use base::{
    ErrorKind,
    edge::error_response,
    http::{HttpRequest, HttpResponse, RequestHandler},
    runtime::LocalFuture,
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

impl RequestHandler for Guest {
    fn handle(&self, ask: HttpRequest) -> LocalFuture<HttpResponse> {
        let path = ask.path.split('?').next().unwrap_or("");
        if path.starts_with("/db/") {
            return self.caller.handle(ask);
        }
        if ask.method == hyper::Method::GET
            && let Some(out) = self.show.page(path)
        {
            return Box::pin(async move { out });
        }
        if !matches!(ask.path_segments()[..], ["ops", ..] | ["report"]) {
            return Box::pin(async { error_response(ErrorKind::NoPath, "", None) });
        }
        let relay = self.relay.clone();
        Box::pin(async move { relay.forward(ask).await })
    }

    fn can_close(&self) -> bool {
        self.caller.can_close()
    }
}
