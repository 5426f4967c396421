//! What leads from one image to a newer one. Doorways are the bulk of an image, and few of them change at a time: they are
//! told as runs that the base holds already and doorways that are new; all else of the image is small and told whole.

use std::collections::BTreeMap;

use prost::Message;

use crate::{Doorway, Image};

/// What leads from one image to a newer one.
#[derive(Clone, PartialEq, Message)]
pub struct ImageDelta {
    /// The newer image without its doorways; none where the newer one is equal to the base.
    #[prost(message, optional, tag = "1")]
    pub rest: Option<Image>,
    /// Its doorways, in order.
    #[prost(message, repeated, tag = "2")]
    pub runs: Vec<DoorwayRun>,
    /// A checksum of the newer image.
    #[prost(uint32, tag = "3")]
    pub digest: u32,
}

/// Doorways that follow each other: first some of the base, then some that are new.
#[derive(Clone, PartialEq, Message)]
pub struct DoorwayRun {
    /// Where those of the base begin in it, and how many they are.
    #[prost(uint32, tag = "1")]
    pub base_start: u32,
    #[prost(uint32, tag = "2")]
    pub base_count: u32,
    #[prost(message, repeated, tag = "3")]
    pub new: Vec<Doorway>,
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
        ImageDelta {
            rest: Some(new.without_doorways()),
            runs: runs(&self.doorways, &new.doorways),
            digest: digest(new),
        }
    }

    /// The newer image that a delta leads to from this one; `None` where it does not fit.
    pub fn apply(&self, delta: &ImageDelta) -> Option<Image> {
        let Some(rest) = &delta.rest else { return Some(self.clone()) };
        let mut doorways = Vec::new();
        for run in &delta.runs {
            let start = run.base_start as usize;
            let end = start.checked_add(run.base_count as usize)?;
            doorways.extend_from_slice(self.doorways.get(start..end)?);
            doorways.extend_from_slice(&run.new);
        }
        let image = Image { doorways, ..rest.clone() };
        (digest(&image) == delta.digest).then_some(image)
    }

    /// All of it but its doorways.
    fn without_doorways(&self) -> Image {
        Image {
            sequence: self.sequence,
            doorways: Vec::new(),
            groups: self.groups.clone(),
            limits: self.limits,
            emptied: self.emptied.clone(),
            elects: self.elects.clone(),
            members: self.members.clone(),
            logs: self.logs.clone(),
            number: self.number,
            taken: self.taken.clone(),
            note: self.note.clone(),
            spots: self.spots.clone(),
            orders: self.orders.clone(),
            forgotten: self.forgotten,
            outgoing_members: self.outgoing_members.clone(),
            memberships: self.memberships.clone(),
        }
    }
}

/// The doorways of the newer image as runs over those of the base.
fn runs(base: &[Doorway], new: &[Doorway]) -> Vec<DoorwayRun> {
    let places: BTreeMap<&str, usize> = base.iter().enumerate().map(|(at, d)| (d.name.as_str(), at)).collect();
    let mut out: Vec<DoorwayRun> = Vec::new();
    for doorway in new {
        let place = places.get(doorway.name.as_str()).copied().filter(|at| base[*at] == *doorway);
        let last = out.last_mut();
        match (place, last) {
            (Some(at), Some(run)) if run.new.is_empty() && at == (run.base_start + run.base_count) as usize => {
                run.base_count += 1;
            }
            (Some(at), _) => out.push(DoorwayRun { base_start: at as u32, base_count: 1, new: Vec::new() }),
            (None, Some(run)) => run.new.push(doorway.clone()),
            (None, None) => out.push(DoorwayRun { base_start: 0, base_count: 0, new: vec![doorway.clone()] }),
        }
    }
    out
}
