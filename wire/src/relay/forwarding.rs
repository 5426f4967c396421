//! Outer requests that go up the tree to the leading hub, and their answers. Origin, boot and nonce name a request over
//! all lives of all processes. One that may take effect is carried out only while its origin still waits for it.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use base::{ErrorKind, edge::error_response, error::WriteOutcome, http};
use bytes::Bytes;
use futures::channel::oneshot;

use super::{NONCES, Relay};
use crate::{Body, ForwardedRequest, ForwardedResponse, NodeHeartbeatAck};

/// How long a request may take, in calls.
const CALLS: u32 = 3;
/// For how many times the span of a stale parent an unheard node's beats are remembered.
const FORGOTTEN: u32 = 60;

/// Guards that tests take away to see that they are needed.
#[derive(Default)]
pub struct Guards {
    /// Carry out a request however late it comes.
    pub any_age: Cell<bool>,
    /// Take an answer that is meant for another life of this process.
    pub any_boot: Cell<bool>,
}

/// When the newest beats of one life of a node came.
#[derive(Default)]
pub(super) struct Arrivals {
    boot: u64,
    beats: VecDeque<(u64, Duration)>,
}

/// Why a request brought no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ForwardError {
    #[error("no way to the leading hub")]
    NotSent,
    #[error("no answer from the leading hub")]
    NoAnswer,
}

/// Whether a request may be made again without harm.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Effect {
    Repeatable,
    Once,
}

/// Reads change nothing, and a server's reports carry a turn of their own by which an older one is known.
fn effect(ask: &http::HttpRequest) -> Effect {
    let report = ask.method == "POST" && ask.path == "/report";
    if ask.method == "GET" || report { Effect::Repeatable } else { Effect::Once }
}

/// An answer that is awaited; forgotten when nobody waits for it any more.
struct Awaited<'a> {
    asks: &'a RefCell<BTreeMap<u64, oneshot::Sender<ForwardedResponse>>>,
    nonce: u64,
}

impl Drop for Awaited<'_> {
    fn drop(&mut self) {
        self.asks.borrow_mut().remove(&self.nonce);
    }
}

/// The answer to a request that is not carried out, as its origin has given it up or may have.
pub(super) fn too_late(ask: ForwardedRequest) -> ForwardedResponse {
    let out = error_response(
        ErrorKind::Unconfirmed,
        "the request came too late and was not carried out",
        Some(WriteOutcome::NotCommitted),
    );
    let retry = out.header("retry-after").and_then(|r| r.parse().ok()).unwrap_or(0);
    let ForwardedRequest { origin, boot_id: boot, nonce, .. } = ask;
    ForwardedResponse {
        origin,
        nonce,
        status: u32::from(out.status),
        retry_after_s: retry,
        body: out.body,
        boot_id: boot,
    }
}

impl Relay {
    /// How many answers are awaited.
    pub fn awaited(&self) -> usize {
        self.asks.borrow().len()
    }

    /// How long an answer is waited for.
    fn ask_span(&self) -> Duration {
        self.bounds().call_timeout() * CALLS
    }

    /// Notes when a beat came that is being returned.
    pub(super) fn arrived(&self, ret: &NodeHeartbeatAck) {
        let (now, kept) = (self.env.now(), self.stale() * FORGOTTEN);
        let mut all = self.arrivals.borrow_mut();
        all.retain(|_, a| a.beats.back().is_some_and(|(_, at)| now - *at < kept));
        let node = all.entry(ret.name.clone()).or_default();
        if node.boot != ret.boot_id {
            *node = Arrivals { boot: ret.boot_id, beats: VecDeque::new() };
        }
        node.beats.push_back((ret.nonce, now));
        if node.beats.len() > NONCES {
            node.beats.pop_front();
        }
    }

    /// Whether a request may still be carried out. A beat that came here at some time was sent no later than that, and the
    /// request was sent so long after the beat as it tells: by then plus the span its origin has given it up. Clocks of two
    /// machines are never compared. A beat that is not known here went to an earlier leading hub: its origin is asked to
    /// come again.
    pub(super) fn timely(&self, ask: &ForwardedRequest) -> bool {
        let own = ask.origin == self.identity.name && ask.boot_id == self.identity.boot_id;
        if !ask.at_most_once || own || self.guards.any_age.get() {
            return true;
        }
        let all = self.arrivals.borrow();
        let Some(node) = all.get(&ask.origin).filter(|a| a.boot == ask.boot_id) else { return false };
        let came = node.beats.iter().find(|(n, _)| *n == ask.last_ack_nonce).map(|(_, at)| *at);
        came.is_some_and(|at| self.env.now() < at + Duration::from_millis(ask.ms_since_heartbeat) + self.ask_span())
    }

    /// Gives an answer to whoever waits for it.
    pub(super) fn answered(&self, ret: ForwardedResponse) {
        if ret.boot_id != self.identity.boot_id && !self.guards.any_boot.get() {
            return;
        }
        if let Some(done) = self.asks.borrow_mut().remove(&ret.nonce) {
            let _ = done.send(ret);
        }
    }

    /// Hands a request to the leading hub, once.
    async fn ask(
        &self,
        method: &str,
        path: &str,
        body: Bytes,
        effect: Effect,
    ) -> Result<ForwardedResponse, ForwardError> {
        if !self.head().is_leader() && self.parent.borrow().is_none() {
            return Err(ForwardError::NotSent);
        }
        let nonce = self.next();
        let (done, wait) = oneshot::channel();
        self.asks.borrow_mut().insert(nonce, done);
        let _awaited = Awaited { asks: &self.asks, nonce };
        let since = self.env.now() - self.heard_at.get().unwrap_or_default();
        self.up(Body::ForwardedRequest(ForwardedRequest {
            origin: self.identity.name.clone(),
            nonce,
            method: method.into(),
            path: path.into(),
            body,
            boot_id: self.identity.boot_id,
            at_most_once: effect == Effect::Once,
            last_ack_nonce: self.heard.get(),
            ms_since_heartbeat: since.as_millis() as u64,
        }));
        let out = self.env.timeout(self.ask_span(), wait).await;
        out.map_err(|_| ForwardError::NoAnswer)?.map_err(|_| ForwardError::NoAnswer)
    }

    /// Answers an outer request by what the leading hub says. Without its word a read is refused, and so is a server's
    /// report, which is simply made again; of anything else the outcome is unknown.
    pub async fn forward(&self, ask: http::HttpRequest) -> http::HttpResponse {
        let read = ask.method == "GET" || ask.path.starts_with("/report");
        let effect = effect(&ask);
        match self.ask(ask.method.as_str(), &ask.path, ask.body, effect).await {
            Ok(r) => {
                let out =
                    http::HttpResponse::new(r.status as u16, r.body).with_header("content-type", "application/json");
                if r.retry_after_s > 0 { out.with_header("retry-after", r.retry_after_s) } else { out }
            }
            Err(ForwardError::NotSent) => {
                error_response(ErrorKind::Unconfirmed, "no way to the leading hub", Some(WriteOutcome::NotCommitted))
            }
            Err(ForwardError::NoAnswer) if read => {
                error_response(ErrorKind::Unconfirmed, "no answer from the leading hub", None)
            }
            Err(ForwardError::NoAnswer) => error_response(
                ErrorKind::OutcomeUnknown,
                "no answer from the leading hub; read back before sending it again",
                None,
            ),
        }
    }
}
