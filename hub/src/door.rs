//! The HTTP door of a hub: operators and servers; callers go to spokes.

use std::rc::Rc;

use base::{
    Kind,
    edge::refuse,
    http::{Ask, Return, Session},
    metrics,
    seam::Local,
};
use wire::relay::Relay;

use crate::consensus::Consensus;

/// One operator's or server's connection.
pub struct Desk {
    pub relay: Rc<Relay>,
    pub agree: Rc<Consensus>,
}

impl Session for Desk {
    fn call(&self, ask: Ask) -> Local<Return> {
        let (relay, agree) = (self.relay.clone(), self.agree.clone());
        Box::pin(async move {
            match ask.parts()[..] {
                ["status"] => status(&relay, &agree),
                ["db", ..] => refuse(Kind::NoPath, "callers are served by spokes", None),
                ["metrics"] => metrics(&relay, &agree),
                _ => relay.pass(ask).await,
            }
        })
    }
}

fn metrics(relay: &Relay, agree: &Consensus) -> Return {
    let empty = agree.empty();
    let sequence = agree.image().map_or(0, |i| i.sequence);
    metrics::page(&[
        ("hub_leads", "gauge", "1 while this hub leads for sure", u64::from(agree.leads())),
        ("hub_term", "gauge", "the newest term this hub knows", agree.term().0),
        ("hub_blank", "gauge", "1 while its disk's memory does not count", u64::from(empty)),
        ("hub_sequence", "gauge", "the newest doorway set's sequence, while leading", sequence),
        ("hub_children", "gauge", "nodes whose parent it is", relay.children().len() as u64),
        ("corrupt_frames_total", "counter", "links closed on a corrupt frame", relay.corrupt.get()),
        ("relayed_frames_total", "counter", "frames handed on for others", relay.handed.get()),
    ])
}

fn status(relay: &Relay, agree: &Consensus) -> Return {
    let (parent, depth) = relay.place();
    let empty = agree.empty();
    let text = format!(
        "{{\"name\":\"{}\",\"area\":\"{}\",\"hub\":true,\"leads\":{},\"leader\":\"{}\",\"term\":{},\"blank\":{},\"fed\":{},\"parent\":\"{}\",\"depth\":{},\"children\":{},\"corrupt\":{}}}",
        relay.who.name,
        relay.who.area,
        agree.leads(),
        agree.leader(),
        agree.term().0,
        empty,
        relay.fed(),
        parent,
        depth,
        relay.children().len(),
        relay.corrupt.get(),
    );
    Return::new(200, text).with("content-type", "application/json")
}
