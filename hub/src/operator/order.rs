//! Sets and changes of doorways and groups: judged against the agreed state, then proposed.

use std::{cell::RefCell, rc::Rc};

use base::{
    Kind,
    edge::{
        operator::{Change, Set},
        refuse,
    },
    http::Return,
    seam::Part,
};
use wire::Image;

use super::{
    Done,
    apply::{self, Wanted},
    identity::{Identity, Memory},
    json, read,
};
use crate::{leadership::Leadership, run::DisabledGuards};

/// The highest number of a set: every reader of JSON takes it for what it is, and there is always a next one.
const HIGHEST_NUMBER: u64 = (1 << 53) - 1;

/// Acknowledges an order by the state's sequence.
pub(super) fn answer(image: &Image) -> Return {
    json(200, format!("{{\"sequence\":{}}}", image.sequence))
}

impl Leadership {
    /// Proposes a change of the agreed state. `make` gives the new state or the final answer.
    pub(super) async fn change(&self, make: impl FnOnce(&Image) -> Result<Image, Return> + 'static) -> Done {
        let verdict = Rc::new(RefCell::new(None));
        let given = verdict.clone();
        let out = self
            .consensus
            .propose(move |image| {
                make(image).map_err(|ret| {
                    *given.borrow_mut() = Some(ret);
                    Kind::Invalid
                })
            })
            .await;
        match out {
            Ok(image) => {
                let (term, _) = self.consensus.term();
                self.log(Part::Agree, format!("configuration {} is committed in term {term}", image.number));
                // News goes out before the operator hears of it, so that no later beat is confirmed without it.
                self.publish();
                Ok(answer(&image))
            }
            // The verdict was confirmed; of anything else nothing is known.
            Err(Kind::Invalid) => {
                let ret = verdict.take().unwrap_or_else(|| refuse(Kind::Unknown, "", None));
                if ret.code == 200 {
                    // It was taken before: news of it goes out before the operator hears of it again.
                    self.publish();
                }
                Err(ret)
            }
            Err(kind) => Err(refuse(kind, "", None)),
        }
    }

    /// A change of doorways and groups. A leader that is to be taken out of its group hands over first.
    async fn adopt(&self, make: impl Fn(&Image) -> Result<Image, Return> + 'static) -> Done {
        // Servers that confirm make themselves known; no set takes any of them out.
        let has_leavers = |image: &Image| image.groups.iter().any(|g| !g.confirms) || self.disabled.early_verdict;
        if let Some(old) = self.consensus.image().filter(|old| has_leavers(old))
            && self.consensus.leads()
        {
            match make(&old) {
                Ok(new) => self.relieve_leavers(&old, &new).await?,
                Err(ret) if self.disabled.early_verdict => return Err(ret),
                // Only a state that was confirmed after the order came may judge it.
                Err(_) => {}
            }
        }
        self.change(make).await
    }

    /// Lets each leader that leaves its group hand over.
    async fn relieve_leavers(&self, old: &Image, new: &Image) -> Result<(), Return> {
        for g in &new.groups {
            let Some(e) = old.elect(&g.name).filter(|e| g.leavers.contains(&e.server)) else { continue };
            if !self.relieve(&g.name, &e.server).await {
                let text = format!("server {:?} leads {:?} and nobody could take over in time", e.server, g.name);
                return Err(refuse(Kind::Unconfirmed, &text, None));
            }
        }
        Ok(())
    }

    pub(super) async fn on_set(&self, body: &[u8]) -> Done {
        let set: Set = read(body)?;
        let disabled = self.disabled;
        let basis = Basis::new("PUT", set.after, set.number, body);
        self.adopt(move |old| {
            basis.check(disabled, old)?;
            let wanted = Wanted::from_set(old, &set);
            basis.take(apply::apply(disabled, old, wanted)?)
        })
        .await
    }

    pub(super) async fn on_change(&self, body: &[u8]) -> Done {
        let change: Change = read(body)?;
        let disabled = self.disabled;
        let basis = Basis::new("PATCH", Some(change.after), change.number, body);
        self.adopt(move |old| {
            basis.check(disabled, old)?;
            let wanted = Wanted::from_change(old, &change)?;
            basis.take(apply::apply(disabled, old, wanted)?)
        })
        .await
    }
}

/// What a set or change builds on, and what it is.
struct Basis {
    after: Option<u64>,
    identity: Option<Identity>,
}

impl Basis {
    fn new(method: &str, after: Option<u64>, number: Option<u64>, body: &[u8]) -> Self {
        Self { after, identity: number.map(|n| Identity::new(method, after, n, body)) }
    }

    /// Refuses one that builds on another version than the newest; one that was taken already is answered so.
    fn check(&self, disabled: DisabledGuards, old: &Image) -> Result<(), Return> {
        if let Some(identity) = &self.identity
            && !disabled.no_order_memory
        {
            match identity.recall(old, self.after) {
                Memory::Taken => return Err(answer(old)),
                Memory::Forgotten if !disabled.refuse_forgotten => {
                    let text = format!("number: {} is too old to tell whether it was taken", identity.number);
                    return Err(refuse(Kind::Unknown, &text, None));
                }
                Memory::Forgotten | Memory::New => {}
            }
        }
        self.check_base(disabled, old)?;
        self.check_number(old)
    }

    fn check_base(&self, disabled: DisabledGuards, old: &Image) -> Result<(), Return> {
        let now = if self.identity.is_some() { old.number } else { old.sequence };
        if disabled.no_compare || self.after.is_none_or(|n| n == now) {
            return Ok(());
        }
        let text = format!("the newest sequence is {now}");
        Err(refuse(Kind::Conflict, &text, None).with("x-sequence", now))
    }

    fn check_number(&self, old: &Image) -> Result<(), Return> {
        let Some(number) = self.identity.map(|i| i.number) else { return Ok(()) };
        let text = if number <= old.number {
            format!("number: {number} is not above {}, the one in force", old.number)
        } else if number > HIGHEST_NUMBER {
            format!("number: {number} is above {HIGHEST_NUMBER}")
        } else {
            return Ok(());
        };
        Err(refuse(Kind::Invalid, &text, None))
    }

    /// Counts the new state, and notes in it that this was taken.
    fn take(&self, mut new: Image) -> Result<Image, Return> {
        new.sequence += 1;
        if let Some(identity) = &self.identity {
            identity.remember(&mut new);
        }
        Ok(new)
    }
}
