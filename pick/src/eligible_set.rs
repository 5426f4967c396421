use std::{collections::VecDeque, time::Duration};

use crate::{Candidate, InvalidMetric, Metrics, Policy, Reason};

/// The most decisions a ring holds, whatever its span.
const MOST: usize = 4096;

/// How one server fared in a decision.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerDecision {
    pub name: String,
    pub eligible: bool,
    pub reason: Reason,
    pub metrics: Metrics,
}

/// One past evaluation.
#[derive(Clone, Debug, PartialEq)]
pub struct Decision {
    pub at: Duration,
    pub servers: Vec<ServerDecision>,
    /// Why the evaluation failed; the rows are then the held ones.
    pub error: Option<String>,
}

/// The standing list of one database (or statement kind), and the ring of past decisions.
#[derive(Clone, Default)]
pub struct EligibleSet {
    servers: Vec<String>,
    held: bool,
    history: VecDeque<Decision>,
    /// How many evaluations have run.
    pub evaluations: u64,
}

impl EligibleSet {
    /// Evaluates and holds the result until the next call; a failure holds the last set.
    pub fn evaluate(
        &mut self,
        now: Duration,
        keep: Duration,
        policy: &Policy,
        all: &[Candidate],
    ) -> Result<(), InvalidMetric> {
        self.evaluations += 1;
        let out = policy.evaluate(all);
        let (rows, fault) = match &out {
            Ok(list) => {
                let rows: Vec<_> = all
                    .iter()
                    .zip(list)
                    .map(|(c, (eligible, why))| ServerDecision {
                        name: c.name.clone(),
                        eligible: *eligible,
                        reason: *why,
                        metrics: c.metrics,
                    })
                    .collect();
                self.servers = rows.iter().filter(|r| r.eligible).map(|r| r.name.clone()).collect();
                self.held = true;
                (rows, None)
            }
            Err(e) => {
                let last = self.history.back().map(|d| d.servers.clone()).unwrap_or_default();
                (last, Some(e.to_string()))
            }
        };
        self.history.push_back(Decision { at: now, servers: rows, error: fault });
        while self.history.len() > MOST || self.history.front().is_some_and(|d| d.at + keep < now) {
            self.history.pop_front();
        }
        out.map(|_| ())
    }

    /// Whether a server is in the standing list. Before the first decision all are.
    pub fn contains(&self, name: &str) -> bool {
        !self.held || self.servers.iter().any(|s| s == name)
    }

    /// The standing list, once there was a decision.
    pub fn set(&self) -> Option<&[String]> {
        self.held.then_some(&self.servers[..])
    }

    /// Past decisions, oldest first.
    pub fn ring(&self) -> impl Iterator<Item = &Decision> {
        self.history.iter()
    }
}
