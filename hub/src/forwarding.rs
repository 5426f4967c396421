//! Hands what comes in at the platform's point to the leading hub, also while another takes over.

use std::{pin::pin, rc::Rc, time::Duration};

use base::{
    Bounds, Env, ErrorKind,
    edge::error_response,
    http::{HttpRequest, HttpResponse},
};
use futures::future::{Either, select};
use wire::relay::Relay;

use crate::consensus::Consensus;

/// The way from this hub to the leading one.
#[derive(Clone, Debug, PartialEq)]
enum LeaderPath {
    /// This hub leads.
    Local,
    /// Over this parent, which is so far from it.
    Via(String, u32),
    Unreachable,
}

/// One hub's entrance for operators and servers.
///
/// Whatever comes in here may be sent up twice: an order is known by its identity, and an evacuation or a server's beat
/// brings about the same state again.
pub struct LeaderForwarder {
    pub env: Env,
    pub bounds: Bounds,
    pub relay: Rc<Relay>,
    pub consensus: Rc<Consensus>,
}

impl LeaderForwarder {
    /// Hands a request to the leading hub, and once more where the way was lost meanwhile or no answer comes: a node
    /// on the way that lost its own parent drops what it can't hand on.
    pub async fn forward(&self, request: HttpRequest) -> HttpResponse {
        let deadline = self.env.now() + self.forward_timeout();
        let mut was_sent = false;
        loop {
            let path = self.current_path();
            if path != LeaderPath::Unreachable {
                was_sent = true;
                let response = pin!(self.relay.forward(request.clone()));
                let path_lost = pin!(self.env.timeout(self.resend_interval(), self.path_changed(&path)));
                if let Either::Left((response, _)) = select(response, path_lost).await {
                    return response;
                }
            }
            if self.env.now() >= deadline {
                let kind = if was_sent { ErrorKind::OutcomeUnknown } else { ErrorKind::Unconfirmed };
                return error_response(kind, "no way to the leading hub", None);
            }
            self.env.sleep(self.poll_interval()).await;
        }
    }

    /// How long a way is looked for: callers wait for a second.
    fn forward_timeout(&self) -> Duration {
        self.bounds.call_timeout() * 3 / 2
    }

    /// After how long without an answer a request is sent up again: a third of the patience.
    fn resend_interval(&self) -> Duration {
        self.forward_timeout() / 3
    }

    /// How often the way is looked at.
    fn poll_interval(&self) -> Duration {
        self.bounds.control_heartbeat() / 4
    }

    fn current_path(&self) -> LeaderPath {
        if self.consensus.leads() {
            return LeaderPath::Local;
        }
        match self.relay.tree_position() {
            (parent, _) if parent.is_empty() || !self.relay.reaches_leader() => LeaderPath::Unreachable,
            (parent, depth) => LeaderPath::Via(parent, depth),
        }
    }

    async fn path_changed(&self, path: &LeaderPath) {
        while self.current_path() == *path {
            self.env.sleep(self.poll_interval()).await;
        }
    }
}
