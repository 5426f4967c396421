//! Carries out operators' orders at the leading hub.
//!
//! A verdict on an order (taken, refused, taken before) rests on a state that lies on a majority of disks and was
//! confirmed by a majority after the order came.

mod apply;
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

/// The largest operator body: the most doorways that a set may hold, each with the operators' own form of it beside it.
const MAX_BODY_BYTES: usize = 3 << 20;

/// How many orders may be under way at the leading hub: eight times what one operator has under way.
pub const MAX_CONCURRENT_ORDERS: usize = 64;

/// An answer, or the refusal.
pub(crate) type OrderResult = Result<HttpResponse, HttpResponse>;

/// An answer in JSON.
pub(crate) fn json(code: u16, text: String) -> HttpResponse {
    HttpResponse::new(code, text).with_header("content-type", "application/json")
}

/// Reads a body of bounded size.
pub(crate) fn parse_body<T: nanoserde::DeJson>(body: &[u8]) -> Result<T, HttpResponse> {
    if body.len() > MAX_BODY_BYTES {
        return Err(error_response(ErrorKind::TooLarge, "", None));
    }
    strict::read(body).map_err(|error| error_response(ErrorKind::Malformed, &error.to_string(), None))
}

impl Leadership {
    /// Answers one outer request that reached the leading hub.
    pub async fn handle_request(self: Rc<Self>, method: &str, path: &str, body: Bytes) -> HttpResponse {
        let path = path.split('?').next().unwrap_or("");
        let segments: Vec<&str> = path.split('/').filter(|p| !p.is_empty()).collect();
        let result = match (method, &segments[..]) {
            ("POST", ["report"]) => self.on_report(&body),
            ("DELETE", ["report", server]) => self.on_leave(server),
            ("GET", ["ops", "doorways"]) => self.read_configuration().await,
            ("GET", ["ops", "members"]) => Ok(self.node_rows()),
            ("GET", ["ops", "servers"]) => Ok(self.server_rows()),
            ("GET", ["ops", "leads"]) => Ok(self.leadership_rows()),
            ("GET", ["ops", "grants"]) => Ok(self.share_rows()),
            (_, ["ops", order_path @ ..]) => self.dispatch_order(method, order_path, &body).await,
            _ => Err(error_response(ErrorKind::NoPath, "", None)),
        };
        result.unwrap_or_else(|e| e)
    }

    /// Carries out an order, if not too many are under way.
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

    async fn read_configuration(&self) -> OrderResult {
        let image = self.consensus.confirm().await.map_err(|k| error_response(k, "", None))?;
        let (term, _) = self.consensus.term();
        self.log(Component::Agree, format!("configuration {} is read in term {term}", image.operator_version));
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
