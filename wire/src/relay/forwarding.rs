//! Forwarding of HTTP requests up the tree to the leader, and of the responses. Origin, boot id and nonce together
//! identify a request across restarts of all processes. A request that may take effect is executed only while its
//! origin still awaits the response.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use base::{ErrorKind, edge::error_response, error::WriteOutcome, http};
use bytes::Bytes;
use futures::channel::oneshot;

use super::{MAX_HEARTBEATS_IN_FLIGHT, Relay};
use crate::{Body, ForwardedRequest, ForwardedResponse, NodeHeartbeatAck};

/// How long a request may take, as a multiple of the call timeout.
const REQUEST_TIMEOUT_CALLS: u32 = 3;
/// How long the heartbeats of a node that has fallen silent are remembered, as a multiple of the stale timeout.
const ARRIVAL_RETENTION_STALE_TIMEOUTS: u32 = 60;

/// Checks that a test switches off to show that they are needed.
#[derive(Default)]
pub struct DisabledGuards {
    /// Execute a request however late it arrives.
    pub accept_expired_requests: Cell<bool>,
    /// Accept a response that was meant for an earlier run of this process.
    pub accept_other_boot_ids: Cell<bool>,
}

/// When the newest heartbeats of one run of a node's process arrived.
#[derive(Default)]
pub(super) struct HeartbeatArrivals {
    boot_id: u64,
    /// Nonces and times of arrival, oldest first.
    heartbeats: VecDeque<(u64, Duration)>,
}

/// Why a request got no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ForwardError {
    #[error("no path to the leading control node")]
    NotSent,
    #[error("no response from the leading control node")]
    NoResponse,
}

/// Whether a request may safely be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Effect {
    Repeatable,
    AtMostOnce,
}

/// Classifies a request. Reads change nothing, and a server's reports carry a sequence number by which an older one is
/// recognized.
fn effect_of(request: &http::HttpRequest) -> Effect {
    let is_report = request.method == "POST" && request.path == "/report";
    if request.method == "GET" || is_report { Effect::Repeatable } else { Effect::AtMostOnce }
}

/// Removes a request from the pending ones when nobody awaits its response any more.
struct PendingRequest<'a> {
    pending: &'a RefCell<BTreeMap<u64, oneshot::Sender<ForwardedResponse>>>,
    nonce: u64,
}

impl Drop for PendingRequest<'_> {
    fn drop(&mut self) {
        self.pending.borrow_mut().remove(&self.nonce);
    }
}

/// The response to a request that is not executed because its origin has, or may have, stopped waiting for it.
pub(super) fn timed_out_response(request: ForwardedRequest) -> ForwardedResponse {
    let error = error_response(
        ErrorKind::Unconfirmed,
        "the request came too late and was not carried out",
        Some(WriteOutcome::NotCommitted),
    );
    let retry_after_s = error.header("retry-after").and_then(|value| value.parse().ok()).unwrap_or(0);
    let ForwardedRequest { origin, boot_id, nonce, .. } = request;
    ForwardedResponse { origin, nonce, status: u32::from(error.status), retry_after_s, body: error.body, boot_id }
}

impl Relay {
    /// How many requests await a response.
    pub fn pending_request_count(&self) -> usize {
        self.pending_requests.borrow().len()
    }

    /// How long a response is awaited.
    fn request_timeout(&self) -> Duration {
        self.bounds().call_timeout() * REQUEST_TIMEOUT_CALLS
    }

    /// Records the time of arrival of a heartbeat that is being acknowledged.
    pub(super) fn record_arrival(&self, ack: &NodeHeartbeatAck) {
        let (now, retention) = (self.env.now(), self.stale_timeout() * ARRIVAL_RETENTION_STALE_TIMEOUTS);
        let mut arrivals = self.arrived_heartbeats.borrow_mut();
        arrivals.retain(|_, a| a.heartbeats.back().is_some_and(|(_, at)| now - *at < retention));
        let node = arrivals.entry(ack.name.clone()).or_default();
        if node.boot_id != ack.boot_id {
            *node = HeartbeatArrivals { boot_id: ack.boot_id, heartbeats: VecDeque::new() };
        }
        node.heartbeats.push_back((ack.nonce, now));
        if node.heartbeats.len() > MAX_HEARTBEATS_IN_FLIGHT {
            node.heartbeats.pop_front();
        }
    }

    /// Whether a request may still be executed, that is, whether its origin may still await the response. The request
    /// states how long after an acknowledged heartbeat it was sent. That heartbeat was sent no later than it arrived
    /// here, so by the time of arrival plus the stated interval plus the request timeout, the origin has stopped
    /// waiting. This never compares the clocks of two machines. A heartbeat that is unknown here was sent to an earlier
    /// leader: the request is then rejected, and the origin has to send it again.
    pub(super) fn is_in_time(&self, request: &ForwardedRequest) -> bool {
        let is_own = request.origin == self.identity.name && request.boot_id == self.identity.boot_id;
        if !request.at_most_once || is_own || self.disabled_guards.accept_expired_requests.get() {
            return true;
        }
        let arrivals = self.arrived_heartbeats.borrow();
        let Some(node) = arrivals.get(&request.origin).filter(|a| a.boot_id == request.boot_id) else { return false };
        let arrived_at = node.heartbeats.iter().find(|(n, _)| *n == request.last_ack_nonce).map(|(_, at)| *at);
        arrived_at.is_some_and(|at| {
            self.env.now() < at + Duration::from_millis(request.ms_since_heartbeat) + self.request_timeout()
        })
    }

    /// Passes a response to the request that awaits it, if there is still one.
    pub(super) fn on_response(&self, response: ForwardedResponse) {
        if response.boot_id != self.identity.boot_id && !self.disabled_guards.accept_other_boot_ids.get() {
            return;
        }
        if let Some(done) = self.pending_requests.borrow_mut().remove(&response.nonce) {
            let _ = done.send(response);
        }
    }

    /// Sends a request to the leader, without retries, and awaits the response.
    async fn send_request(
        &self,
        method: &str,
        path: &str,
        body: Bytes,
        effect: Effect,
    ) -> Result<ForwardedResponse, ForwardError> {
        if !self.handler().is_leader() && self.parent.borrow().is_none() {
            return Err(ForwardError::NotSent);
        }
        let nonce = self.next_id();
        let (done, response) = oneshot::channel();
        self.pending_requests.borrow_mut().insert(nonce, done);
        let _pending = PendingRequest { pending: &self.pending_requests, nonce };
        let since_heartbeat = self.env.now() - self.last_acked_sent_at.get().unwrap_or_default();
        self.send_up(Body::ForwardedRequest(ForwardedRequest {
            origin: self.identity.name.clone(),
            nonce,
            method: method.into(),
            path: path.into(),
            body,
            boot_id: self.identity.boot_id,
            at_most_once: effect == Effect::AtMostOnce,
            last_ack_nonce: self.last_ack_nonce.get(),
            ms_since_heartbeat: since_heartbeat.as_millis() as u64,
        }));
        let result = self.env.timeout(self.request_timeout(), response).await;
        result.map_err(|_| ForwardError::NoResponse)?.map_err(|_| ForwardError::NoResponse)
    }

    /// Forwards an HTTP request to the leader and returns its response. Without a response, a read is reported as
    /// unconfirmed, and so is a server's report, which the server simply sends again; the outcome of any other request
    /// is unknown.
    pub async fn forward(&self, request: http::HttpRequest) -> http::HttpResponse {
        let is_read_or_report = request.method == "GET" || request.path.starts_with("/report");
        let effect = effect_of(&request);
        match self.send_request(request.method.as_str(), &request.path, request.body, effect).await {
            Ok(r) => {
                let response =
                    http::HttpResponse::new(r.status as u16, r.body).with_header("content-type", "application/json");
                if r.retry_after_s > 0 { response.with_header("retry-after", r.retry_after_s) } else { response }
            }
            Err(ForwardError::NotSent) => {
                error_response(ErrorKind::Unconfirmed, "no way to the leading hub", Some(WriteOutcome::NotCommitted))
            }
            Err(ForwardError::NoResponse) if is_read_or_report => {
                error_response(ErrorKind::Unconfirmed, "no answer from the leading hub", None)
            }
            Err(ForwardError::NoResponse) => error_response(
                ErrorKind::OutcomeUnknown,
                "no answer from the leading hub; read back before sending it again",
                None,
            ),
        }
    }
}
