use std::{convert::Infallible, rc::Rc};

use base::runtime::{Listener, Stream};

use super::{Child, Relay};
use crate::{Body, Hello, LinkError, link};

impl Relay {
    /// A handle to itself, for answers that come later.
    pub(super) fn me(&self) -> Option<Rc<Self>> {
        self.own.borrow().upgrade()
    }

    /// Takes links from other processes.
    pub(super) async fn serve(self: Rc<Self>, sock: Rc<dyn Listener>) -> Result<(), Infallible> {
        loop {
            match sock.accept().await {
                Ok(io) => {
                    let me = self.clone();
                    self.env.spawn(async move { me.taken(io).await }).detach();
                }
                Err(e) => {
                    self.log(format!("accept failed: {e}"));
                    self.env.sleep(self.bounds().control_heartbeat()).await;
                }
            }
        }
    }

    async fn taken(self: Rc<Self>, io: Box<dyn Stream>) {
        let (mut inn, out) = link::open(&self.env, io);
        let span = self.bounds().call_timeout();
        let Ok(Ok(Body::Hello(from))) = self.env.timeout(span, inn.next()).await else { return };
        self.head().on_peer_connected(&from);
        out.send(Body::Hello(self.hello()));
        out.send(Body::ParentStatus(self.root()));
        let id = self.next();
        self.lookers.borrow_mut().insert(id, out.clone());
        let quiet = self.quiet() * if from.hub { 15 } else { 1 };
        let end = loop {
            let body = match self.env.timeout(quiet, inn.next()).await {
                Ok(Ok(b)) => b,
                Ok(Err(e)) => break e,
                Err(_) => break LinkError::Closed,
            };
            match body {
                Body::NodeHeartbeat(_) | Body::ForwardedRequest(_) => {
                    self.adopt(id, &from, &out);
                    if let Body::NodeHeartbeat(b) = &body
                        && b.name == from.name
                    {
                        self.child_holds(id, b.snapshot_version.unwrap_or_default());
                    }
                    let origin = match &body {
                        Body::NodeHeartbeat(b) => b.name.clone(),
                        Body::ForwardedRequest(a) => a.origin.clone(),
                        _ => unreachable!("only beats and asks come here"),
                    };
                    self.routes.borrow_mut().insert(origin, (id, self.env.now()));
                    self.up(body);
                }
                Body::SnapshotRequest(request) => self.child_asks(id, request.version.unwrap_or_default()),
                other => {
                    // A hub's link for votes and pulses: nobody looks for a parent over it.
                    self.lookers.borrow_mut().remove(&id);
                    self.head().on_other_frame(&from, other, &out);
                }
            }
        };
        if matches!(end, LinkError::Corrupt) {
            self.corrupt_frames.set(self.corrupt_frames.get() + 1);
            self.log(format!("link from {} closed: {end}", from.name));
        }
        self.lookers.borrow_mut().remove(&id);
        if self.children.borrow_mut().remove(&id).is_some() {
            self.routes.borrow_mut().retain(|_, (child, _)| *child != id);
            self.log(format!("{} left", from.name));
        }
    }

    fn adopt(&self, id: u64, from: &Hello, out: &crate::LinkWriter) {
        if self.children.borrow().contains_key(&id) {
            return;
        }
        self.lookers.borrow_mut().remove(&id);
        let child = Child { name: from.name.clone(), out: out.clone(), deltas: from.deltas, news: None };
        self.children.borrow_mut().insert(id, child);
        self.log(format!("{} joined", from.name));
    }
}
