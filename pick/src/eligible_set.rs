//! The eligible set of a database and the history of its evaluations.

use std::{collections::VecDeque, time::Duration};

use crate::{Candidate, InvalidMetric, Metrics, Policy, Reason};

/// How many decisions the history holds, even if more of them are recent enough.
const MAX_DECISIONS: usize = 4096;

/// The result of an evaluation for one server.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerDecision {
    pub name: String,
    pub eligible: bool,
    pub reason: Reason,
    pub metrics: Metrics,
}

/// The result of one evaluation.
#[derive(Clone, Debug, PartialEq)]
pub struct Decision {
    /// When it ran, as the time of the runtime.
    pub at: Duration,
    pub servers: Vec<ServerDecision>,
    /// Why the evaluation failed; `servers` are then those of the decision before it.
    pub error: Option<String>,
}

/// The eligible set of one database (or of one kind of its statements), and the history of past decisions.
#[derive(Clone, Default)]
pub struct EligibleSet {
    servers: Vec<String>,
    has_decision: bool,
    history: VecDeque<Decision>,
    /// How many evaluations have run, failed ones included.
    pub evaluations: u64,
}

impl EligibleSet {
    /// Evaluates the policy and keeps the result until the next call; if it fails, the last set is kept. Decisions
    /// older than `max_age` are dropped from the history.
    pub fn evaluate(
        &mut self,
        now: Duration,
        max_age: Duration,
        policy: &Policy,
        candidates: &[Candidate],
    ) -> Result<(), InvalidMetric> {
        self.evaluations += 1;
        let result = policy.evaluate(candidates);
        let (servers, error) = match &result {
            Ok(verdicts) => {
                let decisions: Vec<_> = candidates
                    .iter()
                    .zip(verdicts)
                    .map(|(candidate, (eligible, reason))| ServerDecision {
                        name: candidate.name.clone(),
                        eligible: *eligible,
                        reason: *reason,
                        metrics: candidate.metrics,
                    })
                    .collect();
                self.servers = decisions.iter().filter(|d| d.eligible).map(|d| d.name.clone()).collect();
                self.has_decision = true;
                (decisions, None)
            }
            Err(e) => {
                let last = self.history.back().map(|d| d.servers.clone()).unwrap_or_default();
                (last, Some(e.to_string()))
            }
        };
        self.history.push_back(Decision { at: now, servers, error });
        while self.history.len() > MAX_DECISIONS || self.history.front().is_some_and(|d| d.at + max_age < now) {
            self.history.pop_front();
        }
        result.map(|_| ())
    }

    /// Whether a server is in the eligible set. Before the first decision all servers are.
    pub fn contains(&self, name: &str) -> bool {
        !self.has_decision || self.servers.iter().any(|s| s == name)
    }

    /// The eligible set; `None` before the first decision.
    pub fn servers(&self) -> Option<&[String]> {
        self.has_decision.then_some(&self.servers[..])
    }

    /// Past decisions, oldest first.
    pub fn history(&self) -> impl Iterator<Item = &Decision> {
        self.history.iter()
    }
}
