//! What leads from one image to a newer one. Doorways are the bulk of an image, and few of them change at a time: they are
//! told as runs that the base holds already and doorways that are new; all else of the image is small and told whole.

use std::collections::BTreeMap;

use prost::Message;

use crate::{Image, Route};

/// What leads from one image to a newer one.
#[derive(Clone, PartialEq, Message)]
pub struct ImageDelta {
    /// The newer image without its doorways; none where the newer one is equal to the base.
    #[prost(message, optional, tag = "1")]
    pub rest: Option<Image>,
    /// Its doorways, in order.
    #[prost(message, repeated, tag = "2")]
    pub runs: Vec<RouteRun>,
    /// A checksum of the newer image.
    #[prost(uint32, tag = "3")]
    pub digest: u32,
}

/// Doorways that follow each other: first some of the base, then some that are new.
#[derive(Clone, PartialEq, Message)]
pub struct RouteRun {
    /// Where those of the base begin in it, and how many they are.
    #[prost(uint32, tag = "1")]
    pub base_start: u32,
    #[prost(uint32, tag = "2")]
    pub base_count: u32,
    #[prost(message, repeated, tag = "3")]
    pub new: Vec<Route>,
}

fn digest(image: &Image) -> u32 {
    crc32fast::hash(&image.encode_to_vec())
}

impl Image {
    /// What leads from this image to a newer one.
    pub fn delta_to(&self, new: &Image) -> ImageDelta {
        if self == new {
            return ImageDelta::default();
        }
        ImageDelta { rest: Some(new.without_doorways()), runs: runs(&self.routes, &new.routes), digest: digest(new) }
    }

    /// The newer image that a delta leads to from this one; `None` where it does not fit.
    pub fn apply(&self, delta: &ImageDelta) -> Option<Image> {
        let Some(rest) = &delta.rest else { return Some(self.clone()) };
        let mut doorways = Vec::new();
        for run in &delta.runs {
            let start = run.base_start as usize;
            let end = start.checked_add(run.base_count as usize)?;
            doorways.extend_from_slice(self.routes.get(start..end)?);
            doorways.extend_from_slice(&run.new);
        }
        let image = Image { routes: doorways, ..rest.clone() };
        (digest(&image) == delta.digest).then_some(image)
    }

    /// All of it but its doorways.
    fn without_doorways(&self) -> Image {
        Image {
            sequence: self.sequence,
            routes: Vec::new(),
            groups: self.groups.clone(),
            limits: self.limits,
            evacuated_zones: self.evacuated_zones.clone(),
            elections: self.elections.clone(),
            members: self.members.clone(),
            logs: self.logs.clone(),
            operator_version: self.operator_version,
            legacy_orders: self.legacy_orders.clone(),
            note: self.note.clone(),
            server_addresses: self.server_addresses.clone(),
            applied_orders: self.applied_orders.clone(),
            highest_forgotten_order: self.highest_forgotten_order,
            outgoing_members: self.outgoing_members.clone(),
            group_memberships: self.group_memberships.clone(),
        }
    }
}

/// The doorways of the newer image as runs over those of the base.
fn runs(base: &[Route], new: &[Route]) -> Vec<RouteRun> {
    let places: BTreeMap<&str, usize> = base.iter().enumerate().map(|(at, d)| (d.name.as_str(), at)).collect();
    let mut out: Vec<RouteRun> = Vec::new();
    for doorway in new {
        let place = places.get(doorway.name.as_str()).copied().filter(|at| base[*at] == *doorway);
        let last = out.last_mut();
        match (place, last) {
            (Some(at), Some(run)) if run.new.is_empty() && at == (run.base_start + run.base_count) as usize => {
                run.base_count += 1;
            }
            (Some(at), _) => out.push(RouteRun { base_start: at as u32, base_count: 1, new: Vec::new() }),
            (None, Some(run)) => run.new.push(doorway.clone()),
            (None, None) => out.push(RouteRun { base_start: 0, base_count: 0, new: vec![doorway.clone()] }),
        }
    }
    out
}
