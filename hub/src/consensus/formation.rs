//! How the first image comes to be.

use std::rc::Rc;

use wire::{Image, Limits, Member};

use super::core::{AfterSave, Core, Peer};
use crate::store::DurableState;

/// The limits in force until an operator sets some, in milliseconds.
const FIRST_LIMITS: Limits = Limits { statement_ms: 4000, idle_ms: 10000 };

impl Core {
    /// Forms the first image, if all control nodes named in the settings say that they hold none, and this is the first
    /// of them by name, or the one that an operator rescued.
    pub(super) fn form(&mut self) {
        let seeds = self.formation_seeds();
        if !seeds.contains(&self.identity.address.to_string()) {
            return;
        }
        let count = seeds.len();
        let named = |address: &String| seeds.contains(address);
        let seeds: Vec<_> = self.peers.iter().filter(|(_, p)| named(&p.address)).collect();
        let ready = seeds.iter().filter(|(_, p)| p.empty && p.incarnation != 0 && p.connected).count();
        // A seed that lost its disk forms nothing; whoever has one that was there from the start does.
        let rival = |name: &String, p: &Peer| p.rescued || (p.may_form && *name < self.identity.name);
        let first = !seeds.iter().any(|(name, p)| rival(name, p));
        if ready + 1 != count || !(first || self.durable.rescued) {
            return;
        }
        let member = |name: &str, incarnation, address: &str, zone: &str| Member {
            name: name.into(),
            incarnation,
            address: address.into(),
            zone: zone.into(),
        };
        let mut members: Vec<Member> =
            seeds.iter().map(|(name, p)| member(name, p.incarnation, &p.address, &p.zone)).collect();
        let own = &self.identity;
        members.push(member(&own.name, self.durable.incarnation, &own.address.to_string(), &own.zone));
        // From nothing, or from the image that an operator took from the last disk.
        let before = self.durable.image.as_deref().cloned();
        let before = before.unwrap_or_else(|| Image { limits: Some(FIRST_LIMITS), ..Image::default() });
        let image = Image { members, outgoing_members: Vec::new(), ..before };
        let next = DurableState {
            term: self.durable.term + 1,
            voted_for: self.identity.name.clone(),
            version_term: self.durable.term + 1,
            version_index: self.durable.version_index + 1,
            image: Some(Rc::new(image)),
            rescued: false,
            ..DurableState::clone(&self.durable)
        };
        self.log("no control node holds an image; forming the first");
        self.save(next, AfterSave::BeginTerm);
    }

    /// The control nodes that form the first image: those named when the whole system first started, or, for an image
    /// that an operator took, those named now.
    fn formation_seeds(&self) -> Vec<String> {
        if self.durable.rescued || self.guards.form_again {
            return self.identity.seeds.iter().map(ToString::to_string).collect();
        }
        self.durable.formation_seeds.clone()
    }
}
