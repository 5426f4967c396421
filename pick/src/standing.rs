use std::{collections::VecDeque, time::Duration};

use crate::{Candidate, Fault, Metrics, Policy, Why};

/// The most decisions a ring holds, whatever its span.
const MOST: usize = 4096;

/// How one server fared in a decision.
#[derive(Clone, Debug, PartialEq)]
pub struct Verdict {
    pub name: String,
    pub eligible: bool,
    pub why: Why,
    pub metrics: Metrics,
}

/// One past evaluation.
#[derive(Clone, Debug, PartialEq)]
pub struct Decision {
    pub at: Duration,
    pub rows: Vec<Verdict>,
    /// Why the evaluation failed; the rows are then the held ones.
    pub fault: Option<String>,
}

/// The standing list of one database (or statement kind), and the ring of past decisions.
#[derive(Clone, Default)]
pub struct Standing {
    set: Vec<String>,
    held: bool,
    ring: VecDeque<Decision>,
    /// How many evaluations have run.
    pub runs: u64,
}

impl Standing {
    /// Evaluates and holds the result until the next call; a failure holds the last set.
    pub fn evaluate(&mut self, now: Duration, keep: Duration, policy: &Policy, all: &[Candidate]) -> Result<(), Fault> {
        self.runs += 1;
        let out = policy.evaluate(all);
        let (rows, fault) = match &out {
            Ok(list) => {
                let rows: Vec<_> = all
                    .iter()
                    .zip(list)
                    .map(|(c, (eligible, why))| Verdict {
                        name: c.name.clone(),
                        eligible: *eligible,
                        why: *why,
                        metrics: c.metrics,
                    })
                    .collect();
                self.set = rows.iter().filter(|r| r.eligible).map(|r| r.name.clone()).collect();
                self.held = true;
                (rows, None)
            }
            Err(e) => {
                let last = self.ring.back().map(|d| d.rows.clone()).unwrap_or_default();
                (last, Some(e.to_string()))
            }
        };
        self.ring.push_back(Decision { at: now, rows, fault });
        while self.ring.len() > MOST || self.ring.front().is_some_and(|d| d.at + keep < now) {
            self.ring.pop_front();
        }
        out.map(|_| ())
    }

    /// Whether a server is in the standing list. Before the first decision all are.
    pub fn has(&self, name: &str) -> bool {
        !self.held || self.set.iter().any(|s| s == name)
    }

    /// The standing list, once there was a decision.
    pub fn set(&self) -> Option<&[String]> {
        self.held.then_some(&self.set[..])
    }

    /// Past decisions, oldest first.
    pub fn ring(&self) -> impl Iterator<Item = &Decision> {
        self.ring.iter()
    }
}
