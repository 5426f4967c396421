//! Evacuation of a zone and its withdrawal.

use std::collections::BTreeSet;

use base::{ErrorKind, edge::error_response, http::HttpResponse};
use wire::Image;

use super::{OrderResult, order::sequence_response};
use crate::{leadership::Leadership, run::DisabledGuards};

/// The zones that an order may name.
#[derive(Clone, Debug)]
struct Zones {
    names: BTreeSet<String>,
    /// Whether there can be no others.
    complete: bool,
}

impl Leadership {
    /// The zones of the settings; where these list none, those that servers and nodes told of, which are all of them
    /// once everybody had the time to.
    fn known_zones(&self) -> Zones {
        let now = self.env.now();
        let mut names: BTreeSet<String> = self.observed_zones().into_iter().collect();
        if self.disabled.soft_zones {
            return Zones { names, complete: true };
        }
        names.extend(self.listed_zones.iter().cloned());
        let led_for = now.saturating_sub(self.consensus.term().1);
        let complete = !self.listed_zones.is_empty() || led_for > self.bounds.server_gone_after() * 2;
        Zones { names, complete }
    }

    /// Empties a zone of work, or takes that back.
    pub(super) async fn on_evacuation(&self, zone: &str, evacuated: bool) -> OrderResult {
        let zones = self.known_zones();
        let disabled = self.disabled;
        let zone = zone.to_string();
        self.propose_change(move |old| evacuate(disabled, zones, old, &zone, evacuated)).await
    }
}

fn evacuate(
    disabled: DisabledGuards,
    mut zones: Zones,
    old: &Image,
    zone: &str,
    evacuated: bool,
) -> Result<Image, HttpResponse> {
    if !disabled.soft_zones {
        zones.names.extend(old.server_addresses.iter().map(|server| server.zone.clone()));
    }
    let is_evacuated = old.evacuated_zones.iter().any(|name| name == zone);
    if is_evacuated == evacuated && (is_evacuated || zones.names.contains(zone)) && !disabled.soft_zones {
        // Sent again: it is as it was to be.
        return Err(sequence_response(old));
    }
    if !is_evacuated && !zones.names.contains(zone) {
        return Err(zones.reject(format!("area {zone:?}: no server or node tells of it")));
    }
    let mut new = old.clone();
    new.evacuated_zones.retain(|name| name != zone);
    if evacuated {
        new.evacuated_zones.push(zone.into());
        if zones.names.iter().all(|name| new.evacuated_zones.contains(name)) {
            return Err(zones.reject(format!("area {zone:?}: it is the last one not emptied")));
        }
    }
    new.sequence += 1;
    Ok(new)
}

impl Zones {
    /// Refuses an order where all zones are known; otherwise it is to be sent again.
    fn reject(&self, text: String) -> HttpResponse {
        let kind = if self.complete { ErrorKind::Invalid } else { ErrorKind::Unconfirmed };
        error_response(kind, &text, None)
    }
}
