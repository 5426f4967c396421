//! The HTTP door of a spoke: callers, operators, servers, status.

mod status;

use std::rc::Rc;

use base::{
    ErrorKind,
    edge::error_response,
    http::{HttpRequest, HttpResponse, RequestHandler},
    runtime::LocalFuture,
};
use wire::relay::Relay;

use crate::execution::HttpSession;

pub use status::StatusPages;

/// One connection: a caller's session, or an operator or server passing by.
pub struct NodeConnection {
    pub session: HttpSession,
    pub relay: Rc<Relay>,
    pub status_pages: Rc<StatusPages>,
}

impl RequestHandler for NodeConnection {
    fn handle(&self, ask: HttpRequest) -> LocalFuture<HttpResponse> {
        let path = ask.path.split('?').next().unwrap_or("");
        if path.starts_with("/db/") {
            return self.session.handle(ask);
        }
        if ask.method == hyper::Method::GET
            && let Some(out) = self.status_pages.page(path)
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
        self.session.can_close()
    }
}
