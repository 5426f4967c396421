//! Links that other processes open to this one: children, processes that search for a parent, and control nodes.

use std::{convert::Infallible, rc::Rc};

use base::runtime::{Listener, Stream};

use super::{Child, Relay};
use crate::{Body, Hello, LinkError, link};

/// How much longer a link of a control node may be silent than a child's: between control nodes it may carry consensus
/// messages only.
const CONTROL_LINK_TIMEOUT_FACTOR: u32 = 15;

impl Relay {
    /// A shared handle to this relay, for callbacks that outlive the call.
    pub(super) fn shared_self(&self) -> Option<Rc<Self>> {
        self.weak_self.borrow().upgrade()
    }

    /// Accepts links from other processes, each handled in a task of its own.
    pub(super) async fn serve(self: Rc<Self>, listener: Rc<dyn Listener>) -> Result<(), Infallible> {
        loop {
            match listener.accept().await {
                Ok(stream) => {
                    let relay = self.clone();
                    self.env.spawn(async move { relay.serve_link(stream).await }).detach();
                }
                Err(error) => {
                    self.log(format!("accept failed: {error}"));
                    self.env.sleep(self.bounds().control_heartbeat()).await;
                }
            }
        }
    }

    /// Handles one accepted link until it ends or times out.
    async fn serve_link(self: Rc<Self>, stream: Box<dyn Stream>) {
        let (mut reader, writer) = link::open(&self.env, stream);
        let hello_timeout = self.bounds().call_timeout();
        let Ok(Ok(Body::Hello(from))) = self.env.timeout(hello_timeout, reader.next()).await else { return };
        self.handler().on_peer_connected(&from);
        writer.send(Body::Hello(self.hello()));
        writer.send(Body::ParentStatus(self.status()));
        let id = self.next_id();
        self.probing_links.borrow_mut().insert(id, writer.clone());
        let timeout = self.descendant_timeout() * if from.is_control_node { CONTROL_LINK_TIMEOUT_FACTOR } else { 1 };
        let error = loop {
            let body = match self.env.timeout(timeout, reader.next()).await {
                Ok(Ok(body)) => body,
                Ok(Err(error)) => break error,
                Err(_) => break LinkError::Closed,
            };
            match body {
                Body::NodeHeartbeat(_) | Body::ForwardedRequest(_) => {
                    self.add_child(id, &from, &writer);
                    if let Body::NodeHeartbeat(heartbeat) = &body
                        && heartbeat.name == from.name
                    {
                        self.on_child_version(id, heartbeat.snapshot_version.unwrap_or_default());
                    }
                    let origin = match &body {
                        Body::NodeHeartbeat(heartbeat) => heartbeat.name.clone(),
                        Body::ForwardedRequest(request) => request.origin.clone(),
                        _ => unreachable!("only node heartbeats and forwarded requests reach this match"),
                    };
                    self.routes.borrow_mut().insert(origin, (id, self.env.now()));
                    self.send_up(body);
                }
                Body::SnapshotRequest(request) => self.on_snapshot_request(id, request.version.unwrap_or_default()),
                other => {
                    // A control node's link for consensus messages: it is not used to search for a parent.
                    self.probing_links.borrow_mut().remove(&id);
                    self.handler().on_other_frame(&from, other, &writer);
                }
            }
        };
        if matches!(error, LinkError::Corrupt) {
            self.corrupt_frames.set(self.corrupt_frames.get() + 1);
            self.log(format!("link from {} closed: {error}", from.name));
        }
        self.probing_links.borrow_mut().remove(&id);
        if self.children.borrow_mut().remove(&id).is_some() {
            self.routes.borrow_mut().retain(|_, (child, _)| *child != id);
            self.log(format!("child {} left", from.name));
        }
    }

    /// Makes the process at the other end of a link a child, unless it is one already.
    fn add_child(&self, id: u64, from: &Hello, writer: &crate::LinkWriter) {
        if self.children.borrow().contains_key(&id) {
            return;
        }
        self.probing_links.borrow_mut().remove(&id);
        let child = Child {
            name: from.name.clone(),
            writer: writer.clone(),
            accepts_deltas: from.accepts_deltas,
            sent_snapshot: None,
        };
        self.children.borrow_mut().insert(id, child);
        self.log(format!("child {} joined", from.name));
    }
}
