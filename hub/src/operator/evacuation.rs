//! Evacuation of a zone, and its end.

use std::collections::BTreeSet;

use base::{ErrorKind, edge::error_response, http::HttpResponse};
use wire::Image;

use super::{OrderResult, order::sequence_response};
use crate::{leadership::Leadership, run::DisabledGuards};

/// The known zones.
#[derive(Clone, Debug)]
struct KnownZones {
    names: BTreeSet<String>,
    /// Whether these are certainly all zones.
    complete: bool,
}

impl Leadership {
    /// The zones that the settings list and those that servers and nodes report. They are complete if the settings list
    /// any, or once this control node has led for long enough that every server and node has reported.
    fn known_zones(&self) -> KnownZones {
        let now = self.env.now();
        let mut names: BTreeSet<String> = self.observed_zones().into_iter().collect();
        if self.disabled.reported_zones_only {
            return KnownZones { names, complete: true };
        }
        names.extend(self.configured_zones.iter().cloned());
        let led_for = now.saturating_sub(self.consensus.term().1);
        let complete = !self.configured_zones.is_empty() || led_for > self.bounds.server_gone_after() * 2;
        KnownZones { names, complete }
    }

    /// Evacuates a zone, or ends its evacuation.
    pub(super) async fn on_evacuation(&self, zone: &str, evacuated: bool) -> OrderResult {
        let zones = self.known_zones();
        let disabled = self.disabled;
        let zone = zone.to_string();
        self.propose_change(move |old| evacuate(disabled, zones, old, &zone, evacuated)).await
    }
}

/// The state with the zone evacuated or no longer evacuated. Refuses unknown zones and the evacuation of the last zone.
fn evacuate(
    disabled: DisabledGuards,
    mut zones: KnownZones,
    old: &Image,
    zone: &str,
    evacuated: bool,
) -> Result<Image, HttpResponse> {
    if !disabled.reported_zones_only {
        zones.names.extend(old.server_addresses.iter().map(|server| server.zone.clone()));
    }
    let is_evacuated = old.evacuated_zones.iter().any(|name| name == zone);
    if is_evacuated == evacuated && (is_evacuated || zones.names.contains(zone)) && !disabled.reported_zones_only {
        // A repeated order: the zone is in the requested state already.
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

impl KnownZones {
    /// Refuses an order with `Invalid` if all zones are known, else with `Unconfirmed` so that it is sent again later.
    fn reject(&self, text: String) -> HttpResponse {
        let kind = if self.complete { ErrorKind::Invalid } else { ErrorKind::Unconfirmed };
        error_response(kind, &text, None)
    }
}
