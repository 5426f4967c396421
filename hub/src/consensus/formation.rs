//! Formation of the system: creating the first image, or reusing the image that an operator rescued.

use std::rc::Rc;

use wire::{Image, Limits, Member};

use super::core::{AfterSave, Core, Peer};
use crate::store::DurableState;

/// The limits in force until an operator configures others, in milliseconds.
const DEFAULT_LIMITS: Limits = Limits { statement_ms: 4000, idle_ms: 10000 };

impl Core {
    /// Creates the first image, if all seeds are connected and report that they hold none, and this node is either the
    /// first by name of those that may form it, or the one whose image an operator rescued.
    pub(super) fn try_form(&mut self) {
        let seeds = self.formation_seeds();
        if !seeds.contains(&self.identity.address.to_string()) {
            return;
        }
        let seed_count = seeds.len();
        let is_seed = |address: &String| seeds.contains(address);
        let other_seeds: Vec<_> = self.peers.iter().filter(|(_, p)| is_seed(&p.address)).collect();
        let ready_count =
            other_seeds.iter().filter(|(_, p)| p.has_no_image && p.incarnation != 0 && p.connected).count();
        // A seed whose disk was replaced must not form the system; only one whose disk was used at the first start may.
        let has_precedence = |name: &String, p: &Peer| p.rescued || (p.may_form && *name < self.identity.name);
        let is_first = !other_seeds.iter().any(|(name, p)| has_precedence(name, p));
        if ready_count + 1 != seed_count || !(is_first || self.durable.rescued) {
            return;
        }
        let member = |name: &str, incarnation, address: &str, zone: &str| Member {
            name: name.into(),
            incarnation,
            address: address.into(),
            zone: zone.into(),
        };
        let mut members: Vec<Member> =
            other_seeds.iter().map(|(name, p)| member(name, p.incarnation, &p.address, &p.zone)).collect();
        let own = &self.identity;
        members.push(member(&own.name, self.durable.incarnation, &own.address.to_string(), &own.zone));
        // Starts from an empty image, or from the image that an operator rescued from the last disk.
        let base_image = self.durable.image.as_deref().cloned();
        let base_image = base_image.unwrap_or_else(|| Image { limits: Some(DEFAULT_LIMITS), ..Image::default() });
        let image = Image { members, outgoing_members: Vec::new(), ..base_image };
        let next = DurableState {
            term: self.durable.term + 1,
            voted_for: self.identity.name.clone(),
            version_term: self.durable.term + 1,
            version_index: self.durable.version_index + 1,
            image: Some(Rc::new(image)),
            rescued: false,
            ..DurableState::clone(&self.durable)
        };
        self.log("no control node holds an image; creating the first one");
        self.save(next, AfterSave::BeginTerm);
    }

    /// Addresses of the control nodes that form the system: the seeds in the settings at the first start of the whole
    /// system, or the present seeds if this node's image was rescued.
    fn formation_seeds(&self) -> Vec<String> {
        if self.durable.rescued || self.guards.form_again {
            return self.identity.seeds.iter().map(ToString::to_string).collect();
        }
        self.durable.formation_seeds.clone()
    }
}
