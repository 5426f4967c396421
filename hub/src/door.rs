//! The HTTP door of a hub: operators and servers; callers go to spokes.

use std::rc::Rc;

use base::{
    Kind,
    edge::refuse,
    http::{Ask, Return, Session},
    seam::Local,
};
use wire::relay::Relay;

use crate::agree::Agree;

/// One operator's or server's connection.
pub struct Desk {
    pub relay: Rc<Relay>,
    pub agree: Rc<Agree>,
}

impl Session for Desk {
    fn call(&self, ask: Ask) -> Local<Return> {
        let (relay, agree) = (self.relay.clone(), self.agree.clone());
        Box::pin(async move {
            match ask.parts()[..] {
                ["status"] => status(&relay, &agree),
                ["db", ..] => refuse(Kind::NoPath, "callers are served by spokes", None),
                _ => {
                    let read = ask.method == hyper::Method::GET;
                    relay.pass(ask, read).await
                }
            }
        })
    }
}

fn status(relay: &Relay, agree: &Agree) -> Return {
    let (parent, depth) = relay.place();
    let (blank, _) = agree.blank();
    let text = format!(
        "{{\"name\":\"{}\",\"area\":\"{}\",\"hub\":true,\"leads\":{},\"leader\":\"{}\",\"term\":{},\"blank\":{},\"fed\":{},\"parent\":\"{}\",\"depth\":{},\"children\":{},\"corrupt\":{}}}",
        relay.who.name,
        relay.who.area,
        agree.leads(),
        agree.leader(),
        agree.term().0,
        blank,
        relay.fed(),
        parent,
        depth,
        relay.children().len(),
        relay.corrupt.get(),
    );
    Return::new(200, text).with("content-type", "application/json")
}
