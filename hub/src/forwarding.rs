//! Forwards requests from the platform's control endpoint to the leader, also while the leader changes.

use std::{pin::pin, rc::Rc, time::Duration};

use base::{
    Bounds, Env, ErrorKind,
    edge::error_response,
    http::{HttpRequest, HttpResponse},
};
use futures::future::{Either, select};
use wire::relay::Relay;

use crate::consensus::Consensus;

/// The path from this control node to the leader.
#[derive(Clone, Debug, PartialEq)]
enum LeaderPath {
    /// This control node is the leader.
    Local,
    /// By this parent, with the depth of this control node in the tree.
    Via(String, u32),
    /// There is no known path.
    Unreachable,
}

/// Forwards requests of operators and servers to the leader.
///
/// Every request may be sent twice: a repeated order is recognized by its identity, and a repeated evacuation or server
/// heartbeat leads to the same state.
pub struct LeaderForwarder {
    pub env: Env,
    pub bounds: Bounds,
    pub relay: Rc<Relay>,
    pub consensus: Rc<Consensus>,
}

impl LeaderForwarder {
    /// Forwards a request to the leader, and again if the path changed meanwhile or no response comes: a node on the
    /// path that lost its own parent drops what it can't forward. Fails with `OutcomeUnknown` if the request was sent
    /// and with `Unconfirmed` if it was not, once `forward_timeout` has passed without a response.
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

    /// For how long a request is retried; operators and servers wait for one second.
    fn forward_timeout(&self) -> Duration {
        self.bounds.call_timeout() * 3 / 2
    }

    /// After this time without a response a request is sent again: a third of `forward_timeout`.
    fn resend_interval(&self) -> Duration {
        self.forward_timeout() / 3
    }

    /// How often the path is checked.
    fn poll_interval(&self) -> Duration {
        self.bounds.control_heartbeat() / 4
    }

    /// The path to the leader that is known now.
    fn current_path(&self) -> LeaderPath {
        if self.consensus.leads_with_lease() {
            return LeaderPath::Local;
        }
        match self.relay.tree_position() {
            (parent, _) if parent.is_empty() || !self.relay.reaches_leader() => LeaderPath::Unreachable,
            (parent, depth) => LeaderPath::Via(parent, depth),
        }
    }

    /// Waits until the path differs from `path`.
    async fn path_changed(&self, path: &LeaderPath) {
        while self.current_path() == *path {
            self.env.sleep(self.poll_interval()).await;
        }
    }
}
