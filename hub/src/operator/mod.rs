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
const LARGEST_BODY: usize = 3 << 20;

/// How many orders may be under way at the leading hub: eight times what one operator has under way.
pub const MOST_ORDERS: usize = 64;

/// An answer, or the refusal.
pub(crate) type Done = Result<HttpResponse, HttpResponse>;

/// An answer in JSON.
pub(crate) fn json(code: u16, text: String) -> HttpResponse {
    HttpResponse::new(code, text).with_header("content-type", "application/json")
}

/// Reads a body of bounded size.
pub(crate) fn read<T: nanoserde::DeJson>(body: &[u8]) -> Result<T, HttpResponse> {
    if body.len() > LARGEST_BODY {
        return Err(error_response(ErrorKind::TooLarge, "", None));
    }
    strict::read(body).map_err(|e| error_response(ErrorKind::Malformed, &e.to_string(), None))
}

impl Leadership {
    /// Answers one outer request that reached the leading hub.
    pub async fn answer(self: Rc<Self>, method: &str, path: &str, body: Bytes) -> HttpResponse {
        let path = path.split('?').next().unwrap_or("");
        let parts: Vec<&str> = path.split('/').filter(|p| !p.is_empty()).collect();
        let out = match (method, &parts[..]) {
            ("POST", ["report"]) => self.on_report(&body),
            ("DELETE", ["report", server]) => self.on_leave(server),
            ("GET", ["ops", "doorways"]) => self.on_readback().await,
            ("GET", ["ops", "members"]) => Ok(self.members()),
            ("GET", ["ops", "servers"]) => Ok(self.server_rows()),
            ("GET", ["ops", "leads"]) => Ok(self.lead_rows()),
            ("GET", ["ops", "grants"]) => Ok(self.grant_rows()),
            (_, ["ops", rest @ ..]) => self.take_order(method, rest, &body).await,
            _ => Err(error_response(ErrorKind::NoPath, "", None)),
        };
        out.unwrap_or_else(|e| e)
    }

    /// Carries out an order, if not too many are under way.
    async fn take_order(&self, method: &str, path: &[&str], body: &[u8]) -> Done {
        let Some(_permit) = self.orders.try_acquire() else {
            return Err(error_response(ErrorKind::Overloaded, "too many orders are under way", None));
        };
        match (method, path) {
            ("PUT", ["doorways"]) => self.on_set(body).await,
            ("PATCH", ["doorways"]) => self.on_change(body).await,
            ("POST", ["areas", zone, "empty"]) => self.on_evacuation(zone, true).await,
            ("POST", ["areas", zone, "take-back"]) => self.on_evacuation(zone, false).await,
            ("POST", ["handover"]) => self.on_handover(body),
            _ => Err(error_response(ErrorKind::NoPath, "", None)),
        }
    }

    async fn on_readback(&self) -> Done {
        let image = self.consensus.confirm().await.map_err(|k| error_response(k, "", None))?;
        let (term, _) = self.consensus.term();
        self.log(Component::Agree, format!("configuration {} is read in term {term}", image.operator_version));
        let limits = image.limits.unwrap_or_default();
        let out = ConfigurationView {
            sequence: image.sequence,
            doorways: apply::doorways(&image),
            groups: apply::groups(&image),
            limits: Limits { statement_ms: limits.statement_ms, idle_ms: limits.idle_ms },
            emptied: image.evacuated_zones.clone(),
            number: image.operator_version,
            note: image.note.clone(),
        };
        Ok(json(200, out.serialize_json()))
    }

    fn on_handover(&self, body: &[u8]) -> Done {
        let h: HandoverRequest = read(body)?;
        match self.wish(&h.server) {
            Ok(()) => Ok(json(202, "{\"wished\":true}".into())),
            Err(ErrorKind::Invalid) => {
                Err(error_response(ErrorKind::Invalid, &format!("server {:?}: in no group", h.server), None))
            }
            Err(k) => Err(error_response(k, "", None)),
        }
    }
}
