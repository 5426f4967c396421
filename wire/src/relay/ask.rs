//! Outer requests that go up the tree to the leading hub, and their answers. Origin, boot and nonce name a request over
//! all lives of all processes. One that may take effect is carried out only while its origin still waits for it.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

use base::{Kind, edge::refuse, error::Kept, http};
use bytes::Bytes;
use futures::channel::oneshot;

use super::{NONCES, Relay};
use crate::{Ask, AskReturn, BeatReturn, Body};

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
pub enum AskError {
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
fn effect(ask: &http::Ask) -> Effect {
    let report = ask.method == "POST" && ask.path == "/report";
    if ask.method == "GET" || report { Effect::Repeatable } else { Effect::Once }
}

/// An answer that is awaited; forgotten when nobody waits for it any more.
struct Awaited<'a> {
    asks: &'a RefCell<BTreeMap<u64, oneshot::Sender<AskReturn>>>,
    nonce: u64,
}

impl Drop for Awaited<'_> {
    fn drop(&mut self) {
        self.asks.borrow_mut().remove(&self.nonce);
    }
}

/// The answer to a request that is not carried out, as its origin has given it up or may have.
pub(super) fn too_late(ask: Ask) -> AskReturn {
    let out = refuse(Kind::Unconfirmed, "the request came too late and was not carried out", Some(Kept::No));
    let retry = out.header("retry-after").and_then(|r| r.parse().ok()).unwrap_or(0);
    let Ask { origin, boot, nonce, .. } = ask;
    AskReturn { origin, nonce, code: u32::from(out.code), retry, body: out.body, boot }
}

impl Relay {
    /// How many answers are awaited.
    pub fn awaited(&self) -> usize {
        self.asks.borrow().len()
    }

    /// How long an answer is waited for.
    fn ask_span(&self) -> Duration {
        self.bounds().call() * CALLS
    }

    /// Notes when a beat came that is being returned.
    pub(super) fn arrived(&self, ret: &BeatReturn) {
        let (now, kept) = (self.env.now(), self.stale() * FORGOTTEN);
        let mut all = self.arrivals.borrow_mut();
        all.retain(|_, a| a.beats.back().is_some_and(|(_, at)| now - *at < kept));
        let node = all.entry(ret.name.clone()).or_default();
        if node.boot != ret.boot {
            *node = Arrivals { boot: ret.boot, beats: VecDeque::new() };
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
    pub(super) fn timely(&self, ask: &Ask) -> bool {
        let own = ask.origin == self.who.name && ask.boot == self.who.boot;
        if !ask.once || own || self.guards.any_age.get() {
            return true;
        }
        let all = self.arrivals.borrow();
        let Some(node) = all.get(&ask.origin).filter(|a| a.boot == ask.boot) else { return false };
        let came = node.beats.iter().find(|(n, _)| *n == ask.heard).map(|(_, at)| *at);
        came.is_some_and(|at| self.env.now() < at + Duration::from_millis(ask.since) + self.ask_span())
    }

    /// Gives an answer to whoever waits for it.
    pub(super) fn answered(&self, ret: AskReturn) {
        if ret.boot != self.who.boot && !self.guards.any_boot.get() {
            return;
        }
        if let Some(done) = self.asks.borrow_mut().remove(&ret.nonce) {
            let _ = done.send(ret);
        }
    }

    /// Hands a request to the leading hub, once.
    async fn ask(&self, method: &str, path: &str, body: Bytes, effect: Effect) -> Result<AskReturn, AskError> {
        if !self.head().rooted() && self.parent.borrow().is_none() {
            return Err(AskError::NotSent);
        }
        let nonce = self.next();
        let (done, wait) = oneshot::channel();
        self.asks.borrow_mut().insert(nonce, done);
        let _awaited = Awaited { asks: &self.asks, nonce };
        let since = self.env.now() - self.heard_at.get().unwrap_or_default();
        self.up(Body::Ask(Ask {
            origin: self.who.name.clone(),
            nonce,
            method: method.into(),
            path: path.into(),
            body,
            boot: self.who.boot,
            once: effect == Effect::Once,
            heard: self.heard.get(),
            since: since.as_millis() as u64,
        }));
        let out = self.env.within(self.ask_span(), wait).await;
        out.map_err(|_| AskError::NoAnswer)?.map_err(|_| AskError::NoAnswer)
    }

    /// Answers an outer request by what the leading hub says. Without its word a read is refused, and so is a server's
    /// report, which is simply made again; of anything else the outcome is unknown.
    pub async fn pass(&self, ask: http::Ask) -> http::Return {
        let read = ask.method == "GET" || ask.path.starts_with("/report");
        let effect = effect(&ask);
        match self.ask(ask.method.as_str(), &ask.path, ask.body, effect).await {
            Ok(r) => {
                let out = http::Return::new(r.code as u16, r.body).with("content-type", "application/json");
                if r.retry > 0 { out.with("retry-after", r.retry) } else { out }
            }
            Err(AskError::NotSent) => refuse(Kind::Unconfirmed, "no way to the leading hub", Some(Kept::No)),
            Err(AskError::NoAnswer) if read => refuse(Kind::Unconfirmed, "no answer from the leading hub", None),
            Err(AskError::NoAnswer) => {
                refuse(Kind::Unknown, "no answer from the leading hub; read back before sending it again", None)
            }
        }
    }
}
