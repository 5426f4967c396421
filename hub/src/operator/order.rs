//! Sets and changes of doorways and groups: judged against the agreed state, then proposed.

use std::{cell::RefCell, rc::Rc};

use base::{
    ErrorKind,
    edge::{
        error_response,
        operator::{Configuration, ConfigurationChange},
    },
    http::HttpResponse,
    runtime::Component,
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
pub(super) fn answer(image: &Image) -> HttpResponse {
    json(200, format!("{{\"sequence\":{}}}", image.sequence))
}

impl Leadership {
    /// Proposes a change of the agreed state. `make` gives the new state or the final answer.
    pub(super) async fn change(&self, make: impl FnOnce(&Image) -> Result<Image, HttpResponse> + 'static) -> Done {
        let verdict = Rc::new(RefCell::new(None));
        let given = verdict.clone();
        let out = self
            .consensus
            .propose(move |image| {
                make(image).map_err(|ret| {
                    *given.borrow_mut() = Some(ret);
                    ErrorKind::Invalid
                })
            })
            .await;
        match out {
            Ok(image) => {
                let (term, _) = self.consensus.term();
                self.log(
                    Component::Agree,
                    format!("configuration {} is committed in term {term}", image.operator_version),
                );
                // News goes out before the operator hears of it, so that no later beat is confirmed without it.
                self.publish();
                Ok(answer(&image))
            }
            // The verdict was confirmed; of anything else nothing is known.
            Err(ErrorKind::Invalid) => {
                let ret = verdict.take().unwrap_or_else(|| error_response(ErrorKind::OutcomeUnknown, "", None));
                if ret.status == 200 {
                    // It was taken before: news of it goes out before the operator hears of it again.
                    self.publish();
                }
                Err(ret)
            }
            Err(kind) => Err(error_response(kind, "", None)),
        }
    }

    /// A change of doorways and groups. A leader that is to be taken out of its group hands over first.
    async fn adopt(&self, make: impl Fn(&Image) -> Result<Image, HttpResponse> + 'static) -> Done {
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
    async fn relieve_leavers(&self, old: &Image, new: &Image) -> Result<(), HttpResponse> {
        for g in &new.groups {
            let Some(e) = old.election(&g.name).filter(|e| g.leaving_servers.contains(&e.server)) else { continue };
            if !self.relieve(&g.name, &e.server).await {
                let text = format!("server {:?} leads {:?} and nobody could take over in time", e.server, g.name);
                return Err(error_response(ErrorKind::Unconfirmed, &text, None));
            }
        }
        Ok(())
    }

    pub(super) async fn on_set(&self, body: &[u8]) -> Done {
        let set: Configuration = read(body)?;
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
        let change: ConfigurationChange = read(body)?;
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
    fn check(&self, disabled: DisabledGuards, old: &Image) -> Result<(), HttpResponse> {
        if let Some(identity) = &self.identity
            && !disabled.no_order_memory
        {
            match identity.recall(old, self.after) {
                Memory::Taken => return Err(answer(old)),
                Memory::Forgotten if !disabled.refuse_forgotten => {
                    let text = format!("number: {} is too old to tell whether it was taken", identity.number);
                    return Err(error_response(ErrorKind::OutcomeUnknown, &text, None));
                }
                Memory::Forgotten | Memory::New => {}
            }
        }
        self.check_base(disabled, old)?;
        self.check_number(old)
    }

    fn check_base(&self, disabled: DisabledGuards, old: &Image) -> Result<(), HttpResponse> {
        let now = if self.identity.is_some() { old.operator_version } else { old.sequence };
        if disabled.no_compare || self.after.is_none_or(|n| n == now) {
            return Ok(());
        }
        let text = format!("the newest sequence is {now}");
        Err(error_response(ErrorKind::VersionConflict, &text, None).with_header("x-sequence", now))
    }

    fn check_number(&self, old: &Image) -> Result<(), HttpResponse> {
        let Some(number) = self.identity.map(|i| i.number) else { return Ok(()) };
        let text = if number <= old.operator_version {
            format!("number: {number} is not above {}, the one in force", old.operator_version)
        } else if number > HIGHEST_NUMBER {
            format!("number: {number} is above {HIGHEST_NUMBER}")
        } else {
            return Ok(());
        };
        Err(error_response(ErrorKind::Invalid, &text, None))
    }

    /// Counts the new state, and notes in it that this was taken.
    fn take(&self, mut new: Image) -> Result<Image, HttpResponse> {
        new.sequence += 1;
        if let Some(identity) = &self.identity {
            identity.remember(&mut new);
        }
        Ok(new)
    }
}
