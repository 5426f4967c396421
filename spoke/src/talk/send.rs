use std::{collections::BTreeMap, time::Duration};

use base::{
    Kind,
    http::Fault,
    talk::{Once, Refused, Repeatable, Reply, Said, Verdict},
    words::Position,
};
use pick::Outcome;

use super::seat::Stock;
use crate::{
    decide::Gate,
    gauge::Key,
    pool::Slot,
    work::{Works, bump},
};

/// What a connection has to wear for a statement.
#[derive(Clone, Default)]
pub struct Guise {
    values: BTreeMap<String, String>,
    prepared: Option<(bool, String)>,
}

impl Guise {
    /// As the session stands.
    pub fn of(stock: &Stock, said: &Said) -> Self {
        Self { values: stock.values.clone(), prepared: stock.prepared(said) }
    }
}

/// Why a send brought no answer that can be used.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Miss {
    /// Nothing of it was run.
    Unrun(Kind),
    /// It was run and failed.
    Failed(Kind),
    /// It may have been run.
    Unsure,
}

/// Why sending a statement that may take effect brought no answer that can be used. Only where it surely was not run does
/// the statement come back to be sent again.
#[derive(Debug)]
pub enum OnceError {
    NotRun(Kind, Once),
    /// It was run and failed.
    Failed(Kind),
    /// It may have been run.
    Unsure,
}

impl From<OnceError> for Miss {
    fn from(error: OnceError) -> Self {
        match error {
            OnceError::NotRun(kind, _) => Miss::Unrun(kind),
            OnceError::Failed(kind) => Miss::Failed(kind),
            OnceError::Unsure => Miss::Unsure,
        }
    }
}

impl Works {
    /// Sends a statement that changes nothing.
    pub(super) async fn send_repeatable(
        &self,
        slot: &mut Slot,
        key: &Key,
        statement: &Repeatable,
        guise: &Guise,
        after: Option<Position>,
        due: Duration,
    ) -> Result<Reply, Miss> {
        self.utter(slot, key, statement.said(), guise, after, due).await
    }

    /// Sends a statement that may take effect, and takes it away.
    pub(super) async fn send_once(
        &self,
        slot: &mut Slot,
        key: &Key,
        statement: Once,
        guise: &Guise,
        due: Duration,
    ) -> Result<Reply, OnceError> {
        match self.utter(slot, key, statement.said(), guise, None, due).await {
            Ok(reply) => Ok(reply),
            Err(Miss::Unrun(kind)) => Err(OnceError::NotRun(kind, statement)),
            Err(Miss::Failed(kind)) => Err(OnceError::Failed(kind)),
            Err(Miss::Unsure) => Err(OnceError::Unsure),
        }
    }

    /// Says one statement to a server on a connection that wears what it must; notes how it went. Private to this file:
    /// others send what may be repeated and what may not in the two ways above.
    async fn utter(
        &self,
        slot: &mut Slot,
        key: &Key,
        said: &Said,
        guise: &Guise,
        after: Option<Position>,
        due: Duration,
    ) -> Result<Reply, Miss> {
        let server = slot.server().to_string();
        let asked = self.env.now();
        self.gauges.sent(&server);
        let prepared = guise.prepared.as_ref().map(|(w, t)| (t.as_str(), *w));
        let plain = BTreeMap::new();
        let values = if self.decider.tricks.no_wipe { &plain } else { &guise.values };
        let name = slot.wear(values, prepared, due).await.map_err(|_| {
            self.gauges.record(key, &server, Outcome::Error, self.env.now() - asked);
            Miss::Unrun(Kind::NoServer)
        })?;
        let renamed;
        let said = if name.is_empty() {
            said
        } else {
            renamed = Said { name, ..said.clone() };
            &renamed
        };
        let out = slot.say(said, after, due).await;
        let took = self.env.now() - asked;
        let reply = match out {
            Ok(r) => r,
            Err(fault) => {
                self.gauges.record(key, &server, Outcome::Error, took);
                return Err(if fault == Fault::Unsent { Miss::Unrun(Kind::NoServer) } else { Miss::Unsure });
            }
        };
        self.gauges.answered(&server, asked, reply.place);
        let (end, miss) = match &reply.verdict {
            Verdict::Done(_) => (Outcome::Good, None),
            Verdict::Refused(Refused::Busy) => (Outcome::Throttled, Some(Miss::Unrun(Kind::Full))),
            Verdict::Refused(Refused::Behind) => (Outcome::Good, Some(Miss::Unrun(Kind::NoServer))),
            Verdict::Refused(Refused::Follows) => (Outcome::Good, Some(Miss::Unrun(Kind::NoLeader))),
            Verdict::Refused(Refused::Other | Refused::Nameless) => {
                slot.spoil();
                (Outcome::Error, Some(Miss::Unrun(Kind::NoServer)))
            }
            Verdict::Failed => (Outcome::Error, Some(Miss::Failed(Kind::Failed))),
            Verdict::Expired => (Outcome::Error, Some(Miss::Failed(Kind::Due))),
        };
        self.gauges.record(key, &server, end, took);
        miss.map_or(Ok(reply), Err)
    }

    /// How long a statement of a doorway may take, and how long it may wait for somebody to take it: half of that, so that
    /// an election is lived through here. What is given up on is told at once.
    pub fn spans(&self, gate: &Gate) -> (Duration, Duration) {
        let most = gate.most.unwrap_or_else(|| self.decider.limit().0);
        (most, most / 2)
    }

    /// The doorway of a statement outside a transaction, until when the statement may take and how long it may wait, once
    /// this node may take new work.
    pub async fn entry(&self, name: &str) -> Result<(Gate, Key, Duration, Duration), Kind> {
        let gate = self.decider.gate(name)?;
        let (most, patience) = self.spans(&gate);
        let start = self.env.now();
        if let Err(k) = self.admitted(start + patience).await {
            bump(&self.tally.refused);
            return Err(k);
        }
        Ok((gate, self.gauges.key(name, ""), start + most, start + patience))
    }

    /// Waits until this node may take new work, up to a time.
    pub async fn admitted(&self, until: Duration) -> Result<(), Kind> {
        loop {
            match self.decider.admit() {
                Err(k) if self.env.now() >= until => return Err(k),
                Err(_) => self.pause().await,
                Ok(()) => return Ok(()),
            }
        }
    }

    /// Rests until something moved or a moment has passed.
    pub async fn pause(&self) {
        let seen = self.journal.bell.count();
        let _ = self.env.within(self.decider.bounds.pulse() / 20, self.journal.bell.after(seen)).await;
    }
}
