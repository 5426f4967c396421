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
enum Way {
    /// This hub leads.
    Here,
    /// Over this parent, which is so far from it.
    Over(String, u32),
    Nowhere,
}

/// One hub's entrance for operators and servers.
///
/// Whatever comes in here may be sent up twice: an order is known by its identity, and an evacuation or a server's beat
/// brings about the same state again.
pub struct Entrance {
    pub env: Env,
    pub bounds: Bounds,
    pub relay: Rc<Relay>,
    pub consensus: Rc<Consensus>,
}

impl Entrance {
    /// Hands a request to the leading hub, and once more where the way was lost meanwhile or no answer comes: a node
    /// on the way that lost its own parent drops what it can't hand on.
    pub async fn pass(&self, ask: HttpRequest) -> HttpResponse {
        let end = self.env.now() + self.patience();
        let mut sent = false;
        loop {
            let way = self.way();
            if way != Way::Nowhere {
                sent = true;
                let answer = pin!(self.relay.forward(ask.clone()));
                let lost = pin!(self.env.timeout(self.resend(), self.changed(&way)));
                if let Either::Left((ret, _)) = select(answer, lost).await {
                    return ret;
                }
            }
            if self.env.now() >= end {
                let kind = if sent { ErrorKind::OutcomeUnknown } else { ErrorKind::Unconfirmed };
                return error_response(kind, "no way to the leading hub", None);
            }
            self.env.sleep(self.step()).await;
        }
    }

    /// How long a way is looked for: callers wait for a second.
    fn patience(&self) -> Duration {
        self.bounds.call_timeout() * 3 / 2
    }

    /// After how long without an answer a request is sent up again: a third of the patience.
    fn resend(&self) -> Duration {
        self.patience() / 3
    }

    /// How often the way is looked at.
    fn step(&self) -> Duration {
        self.bounds.control_heartbeat() / 4
    }

    fn way(&self) -> Way {
        if self.consensus.leads() {
            return Way::Here;
        }
        match self.relay.tree_position() {
            (parent, _) if parent.is_empty() || !self.relay.reaches_leader() => Way::Nowhere,
            (parent, depth) => Way::Over(parent, depth),
        }
    }

    async fn changed(&self, way: &Way) {
        while self.way() == *way {
            self.env.sleep(self.step()).await;
        }
    }
}
