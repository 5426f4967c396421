//! The HTTP door of a hub: operators and servers; callers go to spokes.

use std::rc::Rc;

use base::{
    Bounds, Kind,
    edge::refuse,
    http::{Ask, Return, Session},
    seam::Local,
};
use wire::{AskReturn, relay::Relay};

use crate::agree::Agree;

/// One operator's or server's connection.
pub struct Desk {
    pub relay: Rc<Relay>,
    pub agree: Rc<Agree>,
    pub bounds: Bounds,
}

impl Session for Desk {
    fn call(&self, ask: Ask) -> Local<Return> {
        let (relay, agree, bounds) = (self.relay.clone(), self.agree.clone(), self.bounds.clone());
        Box::pin(async move {
            match ask.parts()[..] {
                ["status"] => status(&relay, &agree),
                ["db", ..] => refuse(Kind::NoPath, "callers are served by spokes", None),
                _ => pass(&relay, &bounds, ask).await,
            }
        })
    }
}

/// Hands a request to the leading hub and brings back its answer.
pub async fn pass(relay: &Relay, bounds: &Bounds, ask: Ask) -> Return {
    let read = ask.method == hyper::Method::GET;
    let out = relay.ask(ask.method.as_str(), &ask.path, ask.body, bounds.call() * 3).await;
    match out {
        Some(r) => back(r),
        None if read => refuse(Kind::Unconfirmed, "no answer from the leading hub", None),
        None => refuse(Kind::Unknown, "no answer from the leading hub; read back before sending it again", None),
    }
}

fn back(r: AskReturn) -> Return {
    let mut out = Return::new(r.code as u16, r.body).with("content-type", "application/json");
    if r.retry > 0 {
        out = out.with("retry-after", r.retry);
    }
    out
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
