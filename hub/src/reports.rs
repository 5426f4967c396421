//! Takes servers' reports at the leading hub.

use base::{
    ErrorKind,
    edge::{backend::ServerReport, error_response},
};

use crate::{
    leadership::Leadership,
    operator::{Done, json, read},
};

impl Leadership {
    /// A server's report of itself.
    pub(crate) fn on_report(&self, body: &[u8]) -> Done {
        let r: ServerReport = read(body)?;
        if r.addr.parse::<std::net::SocketAddr>().is_err() {
            return Err(error_response(
                ErrorKind::Invalid,
                &format!("addr: {:?} is not an IP address with a port", r.addr),
                None,
            ));
        }
        if !self.consensus.leads() {
            return Err(error_response(ErrorKind::Unconfirmed, "", None));
        }
        if let Some(at) = self.answers_elsewhere(&r).filter(|_| r.group.is_empty()) {
            let text = format!("server {:?} answers at {at}; another is of this name", r.server);
            return Err(error_response(ErrorKind::Invalid, &text, None));
        }
        self.report(&r);
        Ok(json(200, format!("{{\"known\":{}}}", self.known(&r.server))))
    }

    /// A server's word that it ends.
    pub(crate) fn on_leave(&self, server: &str) -> Done {
        if !self.consensus.leads() {
            return Err(error_response(ErrorKind::Unconfirmed, "", None));
        }
        self.left(server);
        Ok(json(200, "{}".into()))
    }
}
