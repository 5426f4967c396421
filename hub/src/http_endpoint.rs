//! The HTTP endpoint of a control node, for operators and servers; nodes serve the clients.

use std::rc::Rc;

use base::{
    ErrorKind,
    edge::error_response,
    http::{HttpRequest, HttpResponse, RequestHandler},
    loop_lag::LoopLag,
    metrics,
    runtime::LocalFuture,
};
use wire::relay::Relay;

use crate::consensus::Consensus;

/// Handles the requests on one connection of an operator or server: answers status and metrics here, and forwards all
/// others to the leader.
pub struct HttpHandler {
    pub relay: Rc<Relay>,
    pub consensus: Rc<Consensus>,
    /// How late tasks of this process run.
    pub lag: Rc<LoopLag>,
}

impl RequestHandler for HttpHandler {
    fn handle(&self, request: HttpRequest) -> LocalFuture<HttpResponse> {
        let (relay, consensus, lag) = (self.relay.clone(), self.consensus.clone(), self.lag.clone());
        Box::pin(async move {
            match request.path_segments()[..] {
                ["status"] => status(&relay, &consensus),
                ["db", ..] => error_response(ErrorKind::NoPath, "callers are served by spokes", None),
                ["metrics"] => metrics(&relay, &consensus, &lag),
                _ => relay.forward(request).await,
            }
        })
    }
}

/// The metrics page.
fn metrics(relay: &Relay, consensus: &Consensus, lag: &LoopLag) -> HttpResponse {
    let is_empty = consensus.has_no_image();
    let sequence = consensus.image().map_or(0, |image| image.sequence);
    metrics::page(&[
        ("hub_leads", "gauge", "1 while this hub leads for sure", u64::from(consensus.leads_with_lease())),
        ("hub_term", "gauge", "the newest term this hub knows", consensus.term().0),
        ("hub_blank", "gauge", "1 while its disk's memory does not count", u64::from(is_empty)),
        ("hub_sequence", "gauge", "the newest doorway set's sequence, while leading", sequence),
        ("hub_children", "gauge", "nodes whose parent it is", relay.children().len() as u64),
        ("corrupt_frames_total", "counter", "links closed on a corrupt frame", relay.corrupt_frames.get()),
        ("relayed_frames_total", "counter", "frames handed on for others", relay.forwarded_frames.get()),
        (
            "parent_searches_failed_total",
            "counter",
            "searches for a parent without one",
            relay.search_counters.failed.get(),
        ),
        ("loop_lag_ms", "gauge", "how late tasks ran when last measured", lag.latest().as_millis() as u64),
        ("loop_lag_worst_ms", "gauge", "how late tasks ran at worst", lag.worst().as_millis() as u64),
    ])
}

/// The status of this control node, as JSON.
fn status(relay: &Relay, consensus: &Consensus) -> HttpResponse {
    let (parent, depth) = relay.tree_position();
    let is_empty = consensus.has_no_image();
    let text = format!(
        "{{\"name\":\"{}\",\"area\":\"{}\",\"hub\":true,\"leads\":{},\"leader\":\"{}\",\"term\":{},\"blank\":{},\"fed\":{},\"parent\":\"{}\",\"depth\":{},\"children\":{},\"corrupt\":{}}}",
        relay.identity.name,
        relay.identity.zone,
        consensus.leads_with_lease(),
        consensus.leader(),
        consensus.term().0,
        is_empty,
        relay.reaches_leader(),
        parent,
        depth,
        relay.children().len(),
        relay.corrupt_frames.get(),
    );
    HttpResponse::new(200, text).with_header("content-type", "application/json")
}
