//! Checks that the results reported to operators are linearizable: consistent with a single register that applied the
//! orders one after another.

use std::collections::{BTreeMap, BTreeSet};

use hub::consensus::{Outcome, RequestId};

use super::cluster::applied_orders;

/// A request of an operator.
#[derive(Clone, Debug)]
pub enum Request {
    Order { id: u32 },
    Read,
}

/// The result of an order that changed nothing: it was applied already, or it is based on another state.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum OrderResult {
    Taken,
    Conflict,
}

#[derive(Clone, Debug)]
struct OpenRequest {
    request: Request,
    /// The longest list of applied orders that had been reported when the request was made.
    reported_before: Vec<u32>,
}

/// Records the reported results and the violations found in them.
#[derive(Clone, Debug, Default)]
pub struct Monitor {
    open_requests: BTreeMap<RequestId, OpenRequest>,
    order_results: BTreeMap<RequestId, OrderResult>,
    /// Orders applied according to outcomes that arrived before the result of their order was recorded.
    outcomes_before_result: BTreeMap<RequestId, Vec<u32>>,
    /// The longest list of applied orders reported so far.
    longest_reported: Vec<u32>,
    acknowledged: BTreeSet<u32>,
    refused: BTreeSet<u32>,
    /// The leader of each term.
    leaders: BTreeMap<u64, String>,
    /// Descriptions of the violations found so far.
    pub violations: Vec<String>,
}

impl Monitor {
    /// Records a new request.
    pub fn on_request(&mut self, request_id: RequestId, request: Request) {
        self.open_requests.insert(request_id, OpenRequest { request, reported_before: self.longest_reported.clone() });
    }

    /// Records the result that the change computed; it is reported once the outcome confirms it.
    pub fn on_order_result(&mut self, request_id: RequestId, result: OrderResult) {
        self.order_results.insert(request_id, result);
        // The outcome was already resolved within the same step.
        if let Some(applied) = self.outcomes_before_result.remove(&request_id) {
            self.confirmed(request_id, applied);
        }
    }

    /// Checks the outcome of a request.
    pub fn on_outcome(&mut self, request_id: RequestId, outcome: Outcome) {
        match outcome {
            Outcome::Committed(image) => self.committed(request_id, applied_orders(&image)),
            Outcome::Confirmed(image) => self.confirmed(request_id, applied_orders(&image)),
            Outcome::Unknown | Outcome::Unavailable | Outcome::DiskFull => {
                self.open_requests.remove(&request_id);
            }
        }
    }

    fn committed(&mut self, request_id: RequestId, applied: Vec<u32>) {
        let Some(open_request) = self.open_requests.remove(&request_id) else { return };
        if let Request::Order { id } = open_request.request {
            self.acknowledge(id, &applied);
        }
        self.check_reported(&open_request.reported_before, applied);
    }

    fn confirmed(&mut self, request_id: RequestId, applied: Vec<u32>) {
        let Some(open_request) = self.open_requests.get(&request_id).cloned() else { return };
        match (&open_request.request, self.order_results.get(&request_id)) {
            (Request::Order { .. }, None) => {
                self.outcomes_before_result.insert(request_id, applied);
                return;
            }
            (Request::Order { id }, Some(OrderResult::Taken)) => self.acknowledge(*id, &applied),
            (Request::Order { id }, Some(OrderResult::Conflict)) => {
                if self.acknowledged.contains(id) {
                    self.violations.push(format!("order {id} was acknowledged and then refused"));
                }
                self.refused.insert(*id);
            }
            (Request::Read, _) => {}
        }
        self.open_requests.remove(&request_id);
        self.check_reported(&open_request.reported_before, applied);
    }

    fn acknowledge(&mut self, id: u32, applied: &[u32]) {
        if !applied.contains(&id) {
            self.violations.push(format!("order {id} was acknowledged, but {applied:?} is committed"));
        }
        self.acknowledged.insert(id);
    }

    /// Checks a reported list of applied orders against the lists reported earlier.
    fn check_reported(&mut self, reported_before: &[u32], applied: Vec<u32>) {
        let is_prefix = applied.starts_with(&self.longest_reported) || self.longest_reported.starts_with(&applied);
        if !is_prefix {
            self.violations.push(format!("{applied:?} was reported, and {:?} before", self.longest_reported));
        }
        if !applied.starts_with(reported_before) {
            self.violations.push(format!("{applied:?} was reported after {reported_before:?}"));
        }
        if let Some(id) = applied.iter().find(|id| self.refused.contains(id)) {
            self.violations.push(format!("order {id} was refused and is in force"));
        }
        if applied.len() > self.longest_reported.len() {
            self.longest_reported = applied;
        }
    }

    /// Records the leader of a term; a second one in the same term is a violation.
    pub fn on_leader(&mut self, term: u64, name: &str) {
        let known = self.leaders.entry(term).or_insert_with(|| name.into());
        if known != name {
            self.violations.push(format!("{known} and {name} lead in term {term}"));
        }
    }

    /// Checks that at most one control node leads with a valid lease.
    pub fn on_leaders_with_lease(&mut self, names: &[String]) {
        if names.len() > 1 {
            self.violations.push(format!("{names:?} lead at the same time"));
        }
    }

    /// The number of orders that were acknowledged.
    pub fn acknowledged_count(&self) -> u64 {
        self.acknowledged.len() as u64
    }

    /// Whether this order was acknowledged.
    pub fn acknowledged(&self, id: u32) -> bool {
        self.acknowledged.contains(&id)
    }
}
