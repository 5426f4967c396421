//! Replacement and change of the configuration: checked against the replicated state, then proposed.

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
    identity::{OrderIdentity, OrderStatus},
    json, parse_body,
};
use crate::{leadership::Leadership, run::DisabledGuards};

/// The highest number of a configuration: every JSON parser reads it exactly, and the next one still exists.
const MAX_ORDER_NUMBER: u64 = (1 << 53) - 1;

/// Acknowledges an order with the state's sequence.
pub(super) fn sequence_response(image: &Image) -> HttpResponse {
    json(200, format!("{{\"sequence\":{}}}", image.sequence))
}

impl Leadership {
    /// Proposes a change of the replicated state. `make` returns the new state, or the final response if nothing is to
    /// be changed. Publishes the new state before it returns.
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
                    Component::Consensus,
                    format!("configuration {} is committed in term {term}", image.operator_version),
                );
                // The snapshot is published before the operator gets the response, so that no later heartbeat is
                // confirmed without it.
                self.publish();
                Ok(sequence_response(&image))
            }
            // The final response was made from a confirmed state. Without one the outcome is unknown.
            Err(ErrorKind::Invalid) => {
                let response =
                    final_response.take().unwrap_or_else(|| error_response(ErrorKind::OutcomeUnknown, "", None));
                if response.status == 200 {
                    // The order was applied before: the snapshot is published before the operator gets the response
                    // again.
                    self.publish();
                }
                Err(response)
            }
            Err(kind) => Err(error_response(kind, "", None)),
        }
    }

    /// Changes the configuration. A primary that is to be removed from its group hands over first.
    async fn change_configuration(
        &self,
        make: impl Fn(&Image) -> Result<Image, HttpResponse> + 'static,
    ) -> OrderResult {
        // Servers that confirm commits register themselves; no configuration removes any of them.
        let may_remove_servers =
            |image: &Image| image.groups.iter().any(|group| !group.confirms) || self.disabled.early_verdict;
        if let Some(current) = self.consensus.image().filter(|current| may_remove_servers(current))
            && self.consensus.leads_with_lease()
        {
            match make(&current) {
                Ok(new) => self.hand_over_leaving(&current, &new).await?,
                Err(response) if self.disabled.early_verdict => return Err(response),
                // An order may be refused only by a state that was confirmed after the order arrived.
                Err(_) => {}
            }
        }
        self.propose_change(make).await
    }

    /// Has each primary that leaves its group hand over.
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

    /// Handles an order that replaces the configuration.
    pub(super) async fn replace_configuration(&self, body: &[u8]) -> OrderResult {
        let configuration: Configuration = parse_body(body)?;
        let disabled = self.disabled;
        let basis = OrderBasis::new("PUT", configuration.after, configuration.number, body);
        self.change_configuration(move |old| {
            basis.check(disabled, old)?;
            let requested = RequestedConfiguration::from_configuration(old, &configuration);
            basis.finish(apply::apply(disabled, old, requested)?)
        })
        .await
    }

    /// Handles an order that changes some items of the configuration.
    pub(super) async fn modify_configuration(&self, body: &[u8]) -> OrderResult {
        let change: ConfigurationChange = parse_body(body)?;
        let disabled = self.disabled;
        let basis = OrderBasis::new("PATCH", Some(change.after), change.number, body);
        self.change_configuration(move |old| {
            basis.check(disabled, old)?;
            let requested = RequestedConfiguration::from_change(old, &change)?;
            basis.finish(apply::apply(disabled, old, requested)?)
        })
        .await
    }
}

/// The version that an order is based on, and the order's identity.
struct OrderBasis {
    based_on: Option<u64>,
    identity: Option<OrderIdentity>,
}

impl OrderBasis {
    fn new(method: &str, after: Option<u64>, number: Option<u64>, body: &[u8]) -> Self {
        Self { based_on: after, identity: number.map(|number| OrderIdentity::new(method, after, number, body)) }
    }

    /// Refuses an order that is based on another version than the latest. An order that was applied before is
    /// acknowledged again.
    fn check(&self, disabled: DisabledGuards, old: &Image) -> Result<(), HttpResponse> {
        if let Some(identity) = &self.identity
            && !disabled.no_order_memory
        {
            match identity.lookup(old, self.based_on) {
                OrderStatus::Applied => return Err(sequence_response(old)),
                OrderStatus::Forgotten if !disabled.refuse_forgotten => {
                    let text = format!("number: {} is too old to tell whether it was taken", identity.number);
                    return Err(error_response(ErrorKind::OutcomeUnknown, &text, None));
                }
                OrderStatus::Forgotten | OrderStatus::NotApplied => {}
            }
        }
        self.check_base(disabled, old)?;
        self.check_number(old)
    }

    /// Checks the version that the order is based on.
    fn check_base(&self, disabled: DisabledGuards, old: &Image) -> Result<(), HttpResponse> {
        let current = if self.identity.is_some() { old.operator_version } else { old.sequence };
        if disabled.no_version_check || self.based_on.is_none_or(|version| version == current) {
            return Ok(());
        }
        let text = format!("the newest sequence is {current}");
        Err(error_response(ErrorKind::VersionConflict, &text, None).with_header("x-sequence", current))
    }

    /// Checks that the order's number rises and is representable.
    fn check_number(&self, old: &Image) -> Result<(), HttpResponse> {
        let Some(number) = self.identity.map(|identity| identity.number) else { return Ok(()) };
        let text = if number <= old.operator_version {
            format!("number: {number} is not above {}, the one in force", old.operator_version)
        } else if number > MAX_ORDER_NUMBER {
            format!("number: {number} is above {MAX_ORDER_NUMBER}")
        } else {
            return Ok(());
        };
        Err(error_response(ErrorKind::Invalid, &text, None))
    }

    /// Increments the sequence of the new state and records in it that the order was applied.
    fn finish(&self, mut new: Image) -> Result<Image, HttpResponse> {
        new.sequence += 1;
        if let Some(identity) = &self.identity {
            identity.remember(&mut new);
        }
        Ok(new)
    }
}
