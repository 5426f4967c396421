//! Reports of servers to the leader.

use base::{
    ErrorKind,
    edge::{backend::ServerReport, error_response},
    http::HttpResponse,
};

use crate::{
    leadership::Leadership,
    operator::{OrderResult, json, parse_body},
};

impl Leadership {
    /// Handles a server's report of itself; the response states whether the server is in a group.
    pub(crate) async fn on_report(&self, body: &[u8]) -> OrderResult {
        let report: ServerReport = parse_body(body)?;
        if report.addr.parse::<std::net::SocketAddr>().is_err() {
            return Err(error_response(
                ErrorKind::Invalid,
                &format!("addr: {:?} is not an IP address with a port", report.addr),
                None,
            ));
        }
        if !self.consensus.leads_with_lease() {
            return Err(error_response(ErrorKind::Unconfirmed, "", None));
        }
        if let Some(address) = self.responding_address(&report).filter(|_| report.group.is_empty()) {
            let text = format!("server {:?} answers at {address}; another is of this name", report.server);
            return Err(error_response(ErrorKind::Invalid, &text, None));
        }
        self.record_report(&report);
        self.confirm_departure(&report.server).await?;
        Ok(json(200, format!("{{\"known\":{}}}", self.is_known(&report.server))))
    }

    /// Waits until what a server reported of its end is recorded by a majority. It may not report it to a later leader
    /// again, so it is not acknowledged before.
    async fn confirm_departure(&self, server: &str) -> Result<(), HttpResponse> {
        if self.await_departure(server).await {
            return Ok(());
        }
        Err(error_response(ErrorKind::Unconfirmed, "", None))
    }

    /// Handles a server's statement that it ends.
    pub(crate) async fn on_deregistration(&self, server: &str) -> OrderResult {
        if !self.consensus.leads_with_lease() {
            return Err(error_response(ErrorKind::Unconfirmed, "", None));
        }
        self.record_departure(server);
        self.confirm_departure(server).await?;
        Ok(json(200, "{}".into()))
    }
}
