//! Executes operators' orders at the leader.
//!
//! The response to an order (applied, refused, applied before) is based on a state that is on a majority of disks and
//! that a majority confirmed after the order arrived.

pub mod apply;
mod evacuation;
pub mod identity;
mod order;

use std::rc::Rc;

use base::{
    ErrorKind,
    edge::{
        error_response,
        operator::{ConfigurationView, HandoverRequest, Limits},
    },
    http::HttpResponse,
    runtime::Component,
    strict,
};
use bytes::Bytes;
use nanoserde::SerJson;

use crate::leadership::Leadership;

/// The largest body of an order: enough for the largest number of routes in a configuration, each with the operators'
/// own form of it as a note.
const MAX_BODY_BYTES: usize = 3 << 20;

/// How many orders may be in progress at the leader: eight times as many as one operator has in progress.
pub const MAX_CONCURRENT_ORDERS: usize = 64;

/// A response, or the refusal as the error.
pub(crate) type OrderResult = Result<HttpResponse, HttpResponse>;

/// A JSON response.
pub(crate) fn json(status: u16, text: String) -> HttpResponse {
    HttpResponse::new(status, text).with_header("content-type", "application/json")
}

/// Parses a JSON body. Fails with a `TooLarge` or `Malformed` response.
pub(crate) fn parse_body<T: nanoserde::DeJson>(body: &[u8]) -> Result<T, HttpResponse> {
    if body.len() > MAX_BODY_BYTES {
        return Err(error_response(ErrorKind::TooLarge, "", None));
    }
    strict::read(body).map_err(|error| error_response(ErrorKind::Malformed, &error.to_string(), None))
}

impl Leadership {
    /// Handles a request of an operator or a server that reached the leader.
    pub async fn handle_request(self: Rc<Self>, method: &str, path: &str, body: Bytes) -> HttpResponse {
        let path = path.split('?').next().unwrap_or("");
        let segments: Vec<&str> = path.split('/').filter(|segment| !segment.is_empty()).collect();
        let result = match (method, &segments[..]) {
            ("POST", ["report"]) => self.on_report(&body).await,
            ("DELETE", ["report", server]) => self.on_deregistration(server).await,
            ("GET", ["ops", "doorways"]) => self.read_configuration().await,
            ("GET", ["ops", "members"]) => Ok(self.node_rows()),
            ("GET", ["ops", "servers"]) => Ok(self.server_rows()),
            ("GET", ["ops", "leads"]) => Ok(self.leadership_rows()),
            ("GET", ["ops", "grants"]) => Ok(self.share_rows()),
            (_, ["ops", order_path @ ..]) => self.dispatch_order(method, order_path, &body).await,
            _ => Err(error_response(ErrorKind::NoPath, "", None)),
        };
        result.unwrap_or_else(|refusal| refusal)
    }

    /// Executes an order, unless too many are in progress.
    async fn dispatch_order(&self, method: &str, path: &[&str], body: &[u8]) -> OrderResult {
        let Some(_permit) = self.order_permits.try_acquire() else {
            return Err(error_response(ErrorKind::Overloaded, "too many orders are under way", None));
        };
        match (method, path) {
            ("PUT", ["doorways"]) => self.replace_configuration(body).await,
            ("PATCH", ["doorways"]) => self.modify_configuration(body).await,
            ("POST", ["areas", zone, "empty"]) => self.on_evacuation(zone, true).await,
            ("POST", ["areas", zone, "take-back"]) => self.on_evacuation(zone, false).await,
            ("POST", ["handover"]) => self.on_handover(body),
            _ => Err(error_response(ErrorKind::NoPath, "", None)),
        }
    }

    /// Returns the configuration, after a majority confirmed that it is current.
    async fn read_configuration(&self) -> OrderResult {
        let image = self.consensus.confirm().await.map_err(|kind| error_response(kind, "", None))?;
        let (term, _) = self.consensus.term();
        self.log(Component::Consensus, format!("configuration {} is read in term {term}", image.operator_version));
        let limits = image.limits.unwrap_or_default();
        let view = ConfigurationView {
            sequence: image.sequence,
            doorways: apply::operator_routes(&image),
            groups: apply::operator_groups(&image),
            limits: Limits { statement_ms: limits.statement_ms, idle_ms: limits.idle_ms },
            emptied: image.evacuated_zones.clone(),
            number: image.operator_version,
            note: image.note.clone(),
        };
        Ok(json(200, view.serialize_json()))
    }

    /// Requests that a server become primary of its group.
    fn on_handover(&self, body: &[u8]) -> OrderResult {
        let request: HandoverRequest = parse_body(body)?;
        match self.request_handover(&request.server) {
            Ok(()) => Ok(json(202, "{\"wished\":true}".into())),
            Err(ErrorKind::Invalid) => {
                Err(error_response(ErrorKind::Invalid, &format!("server {:?}: in no group", request.server), None))
            }
            Err(kind) => Err(error_response(kind, "", None)),
        }
    }
}
