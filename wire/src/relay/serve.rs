use std::{convert::Infallible, rc::Rc};

use base::seam::{Listener, Stream};

use super::{Child, Relay};
use crate::{Body, Broken, Hello, link};

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
                    self.env.sleep(self.bounds().pulse()).await;
                }
            }
        }
    }

    async fn taken(self: Rc<Self>, io: Box<dyn Stream>) {
        let (mut inn, out) = link::open(&self.env, io);
        let span = self.bounds().call();
        let Ok(Ok(Body::Hello(from))) = self.env.within(span, inn.next()).await else { return };
        self.head().met(&from);
        out.send(Body::Hello(self.hello()));
        out.send(Body::Root(self.root()));
        let id = self.next();
        self.lookers.borrow_mut().insert(id, out.clone());
        let quiet = self.quiet() * if from.hub { 15 } else { 1 };
        let end = loop {
            let body = match self.env.within(quiet, inn.next()).await {
                Ok(Ok(b)) => b,
                Ok(Err(e)) => break e,
                Err(_) => break Broken::Closed,
            };
            match body {
                Body::Beat(_) | Body::Ask(_) => {
                    self.adopt(id, &from, &out);
                    if let Body::Beat(b) = &body
                        && b.name == from.name
                    {
                        self.child_holds(id, b.seen.unwrap_or_default());
                    }
                    let origin = match &body {
                        Body::Beat(b) => b.name.clone(),
                        Body::Ask(a) => a.origin.clone(),
                        _ => unreachable!("only beats and asks come here"),
                    };
                    self.routes.borrow_mut().insert(origin, (id, self.env.now()));
                    self.up(body);
                }
                Body::NewsRequest(request) => self.child_asks(id, request.mark.unwrap_or_default()),
                other => {
                    // A hub's link for votes and pulses: nobody looks for a parent over it.
                    self.lookers.borrow_mut().remove(&id);
                    self.head().other(&from, other, &out);
                }
            }
        };
        if matches!(end, Broken::Corrupt) {
            self.corrupt.set(self.corrupt.get() + 1);
            self.log(format!("link from {} closed: {end}", from.name));
        }
        self.lookers.borrow_mut().remove(&id);
        if self.children.borrow_mut().remove(&id).is_some() {
            self.routes.borrow_mut().retain(|_, (child, _)| *child != id);
            self.log(format!("{} left", from.name));
        }
    }

    fn adopt(&self, id: u64, from: &Hello, out: &crate::Out) {
        if self.children.borrow().contains_key(&id) {
            return;
        }
        self.lookers.borrow_mut().remove(&id);
        let child = Child { name: from.name.clone(), out: out.clone(), deltas: from.deltas, news: None };
        self.children.borrow_mut().insert(id, child);
        self.log(format!("{} joined", from.name));
    }
}
