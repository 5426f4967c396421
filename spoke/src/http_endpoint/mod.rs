//! The HTTP endpoint of a node, for clients, operators, servers' reports and status pages.

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

/// One connection: a client's session, or requests of an operator or a server.
pub struct NodeConnection {
    pub session: HttpSession,
    pub relay: Rc<Relay>,
    pub status_pages: Rc<StatusPages>,
}

impl RequestHandler for NodeConnection {
    fn handle(&self, request: HttpRequest) -> LocalFuture<HttpResponse> {
        let path = request.path.split('?').next().unwrap_or("");
        if path.starts_with("/db/") {
            return self.session.handle(request);
        }
        if request.method == hyper::Method::GET
            && let Some(page) = self.status_pages.page(path)
        {
            return Box::pin(async move { page });
        }
        if !matches!(request.path_segments()[..], ["ops", ..] | ["report"]) {
            return Box::pin(async { error_response(ErrorKind::NoPath, "", None) });
        }
        let relay = self.relay.clone();
        Box::pin(async move { relay.forward(request).await })
    }

    fn can_close(&self) -> bool {
        self.session.can_close()
    }
}
