//! Deltas between images. Routes are the bulk of an image, and few of them change at a time: they are sent as runs of
//! routes that the base already holds, and new routes. The rest of the image is small and is sent whole.

use std::collections::BTreeMap;

use prost::Message;

use crate::{Image, Route, Routes};

/// The difference between an image, the base, and a newer one.
#[derive(Clone, PartialEq, Message)]
pub struct ImageDelta {
    /// The newer image without its routes; `None` if the newer image equals the base.
    #[prost(message, optional, tag = "1")]
    pub rest: Option<Image>,
    /// The routes of the newer image, in order.
    #[prost(message, repeated, tag = "2")]
    pub runs: Vec<RouteRun>,
    /// A checksum of the newer image.
    #[prost(uint32, tag = "3")]
    pub digest: u32,
}

/// Consecutive routes: first some of the base, then some new ones.
#[derive(Clone, PartialEq, Message)]
pub struct RouteRun {
    /// The index in the base of the first route taken from it.
    #[prost(uint32, tag = "1")]
    pub base_start: u32,
    /// How many routes are taken from the base.
    #[prost(uint32, tag = "2")]
    pub base_count: u32,
    #[prost(message, repeated, tag = "3")]
    pub new: Vec<Route>,
}

fn digest(image: &Image) -> u32 {
    crc32fast::hash(&image.encode_to_vec())
}

impl Image {
    /// The delta from this image to a newer one.
    pub fn delta_to(&self, new: &Image) -> ImageDelta {
        if self == new {
            return ImageDelta::default();
        }
        ImageDelta { rest: Some(new.without_routes()), runs: runs(&self.routes, &new.routes), digest: digest(new) }
    }

    /// Applies a delta to this image and returns the newer image; `None` if the result is not that image,
    /// because the delta was made for another base.
    pub fn apply(&self, delta: &ImageDelta) -> Option<Image> {
        let Some(rest) = &delta.rest else { return Some(self.clone()) };
        let image = Image { routes: self.routes_with(delta)?, ..rest.clone() };
        (digest(&image) == delta.digest).then_some(image)
    }

    /// The routes of the newer image; `None` if the delta was made for another base.
    fn routes_with(&self, delta: &ImageDelta) -> Option<Routes> {
        if let [run] = &delta.runs[..]
            && run.new.is_empty()
            && (run.base_start, run.base_count as usize) == (0, self.routes.len())
        {
            return Some(self.routes.clone());
        }
        let mut routes = Vec::new();
        for run in &delta.runs {
            let start = run.base_start as usize;
            let end = start.checked_add(run.base_count as usize)?;
            routes.extend_from_slice(self.routes.get(start..end)?);
            routes.extend_from_slice(&run.new);
        }
        Some(routes.into())
    }

    /// The image with all fields except the routes.
    fn without_routes(&self) -> Image {
        Image {
            sequence: self.sequence,
            routes: Routes::default(),
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
            departures: self.departures.clone(),
        }
    }
}

/// The routes of the newer image as runs over those of the base.
fn runs(base: &Routes, new: &Routes) -> Vec<RouteRun> {
    if base == new && !base.is_empty() {
        return vec![RouteRun { base_start: 0, base_count: base.len() as u32, new: Vec::new() }];
    }
    let positions: BTreeMap<&str, usize> = base.iter().enumerate().map(|(at, r)| (r.name.as_str(), at)).collect();
    let mut out: Vec<RouteRun> = Vec::new();
    for route in new {
        let position = positions.get(route.name.as_str()).copied().filter(|at| base[*at] == *route);
        let last = out.last_mut();
        match (position, last) {
            (Some(at), Some(run)) if run.new.is_empty() && at == (run.base_start + run.base_count) as usize => {
                run.base_count += 1;
            }
            (Some(at), _) => out.push(RouteRun { base_start: at as u32, base_count: 1, new: Vec::new() }),
            (None, Some(run)) => run.new.push(route.clone()),
            (None, None) => out.push(RouteRun { base_start: 0, base_count: 0, new: vec![route.clone()] }),
        }
    }
    out
}
