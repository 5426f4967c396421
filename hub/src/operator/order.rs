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
    OrderResult,
    apply::{self, RequestedConfiguration},
    identity::{Identity, Memory},
    json, parse_body,
};
use crate::{leadership::Leadership, run::DisabledGuards};

/// The highest number of a set: every reader of JSON takes it for what it is, and there is always a next one.
const HIGHEST_NUMBER: u64 = (1 << 53) - 1;

/// Acknowledges an order by the state's sequence.
pub(super) fn sequence_response(image: &Image) -> HttpResponse {
    json(200, format!("{{\"sequence\":{}}}", image.sequence))
}

impl Leadership {
    /// Proposes a change of the agreed state. `make` gives the new state or the final answer.
    pub(super) async fn propose_change(
        &self,
        make: impl FnOnce(&Image) -> Result<Image, HttpResponse> + 'static,
    ) -> OrderResult {
        let final_response = Rc::new(RefCell::new(None));
        let recorded_response = final_response.clone();
        let result = self
            .consensus
            .propose(move |image| {
                make(image).map_err(|response| {
                    *recorded_response.borrow_mut() = Some(response);
                    ErrorKind::Invalid
                })
            })
            .await;
        match result {
            Ok(image) => {
                let (term, _) = self.consensus.term();
                self.log(
                    Component::Agree,
                    format!("configuration {} is committed in term {term}", image.operator_version),
                );
                // News goes out before the operator hears of it, so that no later beat is confirmed without it.
                self.publish();
                Ok(sequence_response(&image))
            }
            // The verdict was confirmed; of anything else nothing is known.
            Err(ErrorKind::Invalid) => {
                let response =
                    final_response.take().unwrap_or_else(|| error_response(ErrorKind::OutcomeUnknown, "", None));
                if response.status == 200 {
                    // It was taken before: news of it goes out before the operator hears of it again.
                    self.publish();
                }
                Err(response)
            }
            Err(kind) => Err(error_response(kind, "", None)),
        }
    }

    /// A change of doorways and groups. A leader that is to be taken out of its group hands over first.
    async fn change_configuration(
        &self,
        make: impl Fn(&Image) -> Result<Image, HttpResponse> + 'static,
    ) -> OrderResult {
        // Servers that confirm make themselves known; no set takes any of them out.
        let may_remove_servers =
            |image: &Image| image.groups.iter().any(|g| !g.confirms) || self.disabled.early_verdict;
        if let Some(current) = self.consensus.image().filter(|current| may_remove_servers(current))
            && self.consensus.leads()
        {
            match make(&current) {
                Ok(new) => self.hand_over_leaving(&current, &new).await?,
                Err(response) if self.disabled.early_verdict => return Err(response),
                // Only a state that was confirmed after the order came may judge it.
                Err(_) => {}
            }
        }
        self.propose_change(make).await
    }

    /// Lets each leader that leaves its group hand over.
    async fn hand_over_leaving(&self, old: &Image, new: &Image) -> Result<(), HttpResponse> {
        for group in &new.groups {
            let Some(election) =
                old.election(&group.name).filter(|election| group.leaving_servers.contains(&election.server))
            else {
                continue;
            };
            if !self.hand_over_before_removal(&group.name, &election.server).await {
                let text =
                    format!("server {:?} leads {:?} and nobody could take over in time", election.server, group.name);
                return Err(error_response(ErrorKind::Unconfirmed, &text, None));
            }
        }
        Ok(())
    }

    pub(super) async fn replace_configuration(&self, body: &[u8]) -> OrderResult {
        let configuration: Configuration = parse_body(body)?;
        let disabled = self.disabled;
        let basis = OrderBasis::new("PUT", configuration.after, configuration.number, body);
        self.change_configuration(move |old| {
            basis.check(disabled, old)?;
            let wanted = RequestedConfiguration::from_configuration(old, &configuration);
            basis.finish(apply::apply(disabled, old, wanted)?)
        })
        .await
    }

    pub(super) async fn modify_configuration(&self, body: &[u8]) -> OrderResult {
        let change: ConfigurationChange = parse_body(body)?;
        let disabled = self.disabled;
        let basis = OrderBasis::new("PATCH", Some(change.after), change.number, body);
        self.change_configuration(move |old| {
            basis.check(disabled, old)?;
            let wanted = RequestedConfiguration::from_change(old, &change)?;
            basis.finish(apply::apply(disabled, old, wanted)?)
        })
        .await
    }
}

/// What a set or change builds on, and what it is.
struct OrderBasis {
    based_on: Option<u64>,
    identity: Option<Identity>,
}

impl OrderBasis {
    fn new(method: &str, after: Option<u64>, number: Option<u64>, body: &[u8]) -> Self {
        Self { based_on: after, identity: number.map(|number| Identity::new(method, after, number, body)) }
    }

    /// Refuses one that builds on another version than the newest; one that was taken already is answered so.
    fn check(&self, disabled: DisabledGuards, old: &Image) -> Result<(), HttpResponse> {
        if let Some(identity) = &self.identity
            && !disabled.no_order_memory
        {
            match identity.recall(old, self.based_on) {
                Memory::Taken => return Err(sequence_response(old)),
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
        let current = if self.identity.is_some() { old.operator_version } else { old.sequence };
        if disabled.no_compare || self.based_on.is_none_or(|version| version == current) {
            return Ok(());
        }
        let text = format!("the newest sequence is {current}");
        Err(error_response(ErrorKind::VersionConflict, &text, None).with_header("x-sequence", current))
    }

    fn check_number(&self, old: &Image) -> Result<(), HttpResponse> {
        let Some(number) = self.identity.map(|identity| identity.number) else { return Ok(()) };
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
    fn finish(&self, mut new: Image) -> Result<Image, HttpResponse> {
        new.sequence += 1;
        if let Some(identity) = &self.identity {
            identity.remember(&mut new);
        }
        Ok(new)
    }
}
