//! What operators were told, and whether it can be true of one register that took the orders one after another.

use std::collections::{BTreeMap, BTreeSet};

use hub::consensus::{Outcome, Ticket};

use super::world::history;

/// What an operator asked for.
#[derive(Clone, Debug)]
pub enum Call {
    Order { id: u32 },
    Read,
}

/// What an order that changed nothing is to be answered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    Taken,
    Conflict,
}

#[derive(Clone, Debug)]
struct Open {
    call: Call,
    /// The longest history that anybody had been told of when the call was made.
    floor: Vec<u32>,
}

/// Collects what was told and what is wrong with it.
#[derive(Clone, Debug, Default)]
pub struct Monitor {
    open: BTreeMap<Ticket, Open>,
    verdicts: BTreeMap<Ticket, Verdict>,
    resolved_early: BTreeMap<Ticket, Vec<u32>>,
    longest: Vec<u32>,
    acknowledged: BTreeSet<u32>,
    refused: BTreeSet<u32>,
    leaders: BTreeMap<u64, String>,
    pub violations: Vec<String>,
}

impl Monitor {
    pub fn called(&mut self, ticket: Ticket, call: Call) {
        self.open.insert(ticket, Open { call, floor: self.longest.clone() });
    }

    /// The verdict that the change gave, told once the outcome confirms it.
    pub fn verdict(&mut self, ticket: Ticket, verdict: Verdict) {
        self.verdicts.insert(ticket, verdict);
        // The outcome came within the same step.
        if let Some(applied) = self.resolved_early.remove(&ticket) {
            self.confirmed(ticket, applied);
        }
    }

    pub fn resolved(&mut self, ticket: Ticket, outcome: Outcome) {
        match outcome {
            Outcome::Committed(image) => self.committed(ticket, history(&image)),
            Outcome::Confirmed(image) => self.confirmed(ticket, history(&image)),
            Outcome::Unknown | Outcome::Unavailable | Outcome::DiskFull => {
                self.open.remove(&ticket);
            }
        }
    }

    fn committed(&mut self, ticket: Ticket, applied: Vec<u32>) {
        let Some(open) = self.open.remove(&ticket) else { return };
        if let Call::Order { id } = open.call {
            self.acknowledge(id, &applied);
        }
        self.told(&open.floor, applied);
    }

    fn confirmed(&mut self, ticket: Ticket, applied: Vec<u32>) {
        let Some(open) = self.open.get(&ticket).cloned() else { return };
        match (&open.call, self.verdicts.get(&ticket)) {
            (Call::Order { .. }, None) => {
                self.resolved_early.insert(ticket, applied);
                return;
            }
            (Call::Order { id }, Some(Verdict::Taken)) => self.acknowledge(*id, &applied),
            (Call::Order { id }, Some(Verdict::Conflict)) => {
                if self.acknowledged.contains(id) {
                    self.violations.push(format!("order {id} was acknowledged and then refused"));
                }
                self.refused.insert(*id);
            }
            (Call::Read, _) => {}
        }
        self.open.remove(&ticket);
        self.told(&open.floor, applied);
    }

    fn acknowledge(&mut self, id: u32, applied: &[u32]) {
        if !applied.contains(&id) {
            self.violations.push(format!("order {id} was acknowledged, but {applied:?} is committed"));
        }
        self.acknowledged.insert(id);
    }

    fn told(&mut self, floor: &[u32], applied: Vec<u32>) {
        let chained = applied.starts_with(&self.longest) || self.longest.starts_with(&applied);
        if !chained {
            self.violations.push(format!("{applied:?} was told, and {:?} before", self.longest));
        }
        if !applied.starts_with(floor) {
            self.violations.push(format!("{applied:?} was told after {floor:?}"));
        }
        if let Some(id) = applied.iter().find(|id| self.refused.contains(id)) {
            self.violations.push(format!("order {id} was refused and is in force"));
        }
        if applied.len() > self.longest.len() {
            self.longest = applied;
        }
    }

    pub fn leader(&mut self, term: u64, name: &str) {
        let known = self.leaders.entry(term).or_insert_with(|| name.into());
        if known != name {
            self.violations.push(format!("{known} and {name} lead in term {term}"));
        }
    }

    pub fn sure_leaders(&mut self, names: &[String]) {
        if names.len() > 1 {
            self.violations.push(format!("{names:?} lead at once"));
        }
    }

    /// How many orders were acknowledged.
    pub fn taken(&self) -> u64 {
        self.acknowledged.len() as u64
    }

    pub fn acknowledged(&self, id: u32) -> bool {
        self.acknowledged.contains(&id)
    }
}
