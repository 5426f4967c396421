//! Sending the image to the other control nodes. Plain heartbeats never wait for it: it goes in heartbeat messages of
//! its own, as a delta to the image that the receiver holds if this node still has that image, and whole otherwise.

use std::{
    collections::{BTreeMap, VecDeque},
    fmt,
    rc::Rc,
    time::Duration,
};

use wire::{Heartbeat, Image, ImageDelta};

use super::{
    core::{Core, Peer, Role},
    types::{Clock, Effect, Message},
};
use crate::store::Version;

/// Number of recent images that a control node keeps as bases of deltas.
const MAX_RECENT_IMAGES: usize = 6;

/// An image that was sent to another control node and is not acknowledged yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct SentImage {
    pub version: Version,
    /// The nonce of the message that carried it.
    pub nonce: u64,
    pub sent_at: Duration,
}

/// The newest images of this node, and the delta computed last.
#[derive(Clone, Default)]
pub(super) struct RecentImages {
    images: VecDeque<(Version, Rc<Image>)>,
    cached_delta: Option<(Version, Version, Rc<ImageDelta>)>,
}

impl fmt::Debug for RecentImages {
    /// Prints the versions only; they identify the images.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_list().entries(self.images.iter().map(|i| i.0)).finish()
    }
}

impl RecentImages {
    /// Adds an image and drops the oldest beyond the limit.
    pub fn record(&mut self, version: Version, image: &Rc<Image>) {
        if self.images.back().is_some_and(|newest| newest.0 == version) {
            return;
        }
        self.images.push_back((version, image.clone()));
        if self.images.len() > MAX_RECENT_IMAGES {
            self.images.pop_front();
        }
    }

    /// Whether the image of this version is kept.
    fn has(&self, version: Version) -> bool {
        self.images.iter().any(|image| image.0 == version)
    }

    /// The delta from the image of version `base` to `image`; `None` if the base is no longer kept. The last delta is
    /// cached, because several nodes usually hold the same base.
    fn delta(&mut self, base: Version, version: Version, image: &Rc<Image>) -> Option<Rc<ImageDelta>> {
        if let Some((from, to, delta)) = &self.cached_delta
            && (*from, *to) == (base, version)
        {
            return Some(delta.clone());
        }
        let (_, old) = self.images.iter().find(|i| i.0 == base)?;
        // A new leader saves its image again under its own term, so two versions may share one image.
        let is_same = Rc::ptr_eq(old, image);
        let delta = Rc::new(if is_same { ImageDelta::default() } else { old.delta_to(image) });
        self.cached_delta = Some((base, version, delta.clone()));
        Some(delta)
    }
}

impl Peer {
    /// Version of the image that was sent to it, unless the acknowledgement is overdue.
    fn version_in_flight(&self, now: Duration, resend_after: Duration) -> Option<Version> {
        self.image_in_flight.filter(|sent| now < sent.sent_at + resend_after).map(|sent| sent.version)
    }

    /// Whether this image has to be sent to it now: it does not hold the image, and the image is not in flight.
    fn needs_image(&self, version: Version, now: Duration, resend_after: Duration) -> bool {
        let is_outdated = self.version.is_some_and(|held| held != version);
        self.connected && is_outdated && self.version_in_flight(now, resend_after) != Some(version)
    }

    /// The version that it will hold once the image in flight has arrived.
    fn expected_version(&self, now: Duration, resend_after: Duration) -> Version {
        let held = self.version.unwrap_or_default();
        self.version_in_flight(now, resend_after).map_or(held, |sent| sent.max(held))
    }
}

impl Core {
    /// Sends the newest image to every connected control node that does not hold it.
    pub(super) fn send_images(&mut self, clock: Clock) {
        let peer_names: Vec<String> = self.peers.keys().cloned().collect();
        self.send_image_to(clock, peer_names);
    }

    /// Sends the newest image to one control node, if this node leads and the other does not hold the image.
    pub(super) fn send_image(&mut self, clock: Clock, to: &str) {
        self.send_image_to(clock, vec![to.into()]);
    }

    /// Sends the newest image to those of these control nodes that don't hold it: one message to all that hold the same
    /// base.
    fn send_image_to(&mut self, clock: Clock, names: Vec<String>) {
        let version = self.version();
        let Some(image) = self.durable.image.clone().filter(|_| self.role == Role::Leader) else { return };
        let mut receivers: BTreeMap<Option<Version>, Vec<String>> = BTreeMap::new();
        for name in names {
            let Some(peer) = self.peers.get(&name) else { continue };
            if peer.needs_image(version, clock.now, self.timing.image_resend_after) {
                receivers.entry(self.delta_base(peer, clock.now)).or_default().push(name);
            }
        }
        for (base, to) in receivers {
            let delta = base.and_then(|base| self.recent_images.delta(base, version, &image));
            let nonce = self.next_nonce();
            let base = base.unwrap_or_default();
            let heartbeat = Heartbeat {
                term: self.durable.term,
                nonce,
                version_term: version.term,
                version_index: version.index,
                image: if delta.is_none() { Some(Image::clone(&image)) } else { None },
                committed: self.committed.as_ref().map_or(0, |c| c.0),
                delta: delta.map(|delta| ImageDelta::clone(&delta)),
                base_term: base.term,
                base_index: base.index,
                ..Heartbeat::default()
            };
            for name in &to {
                let Some(peer) = self.peers.get_mut(name) else { continue };
                peer.record_sent(nonce, clock.now);
                peer.image_in_flight = Some(SentImage { version, nonce, sent_at: clock.now });
            }
            self.effect(Effect::Send { to, message: Message::Heartbeat(Box::new(heartbeat)) });
        }
    }

    /// The version of the image on which a delta for this control node builds; `None` if it needs the whole image.
    fn delta_base(&self, peer: &Peer, now: Duration) -> Option<Version> {
        let accepts_deltas = peer.accepts_deltas && !peer.rescued && !peer.has_no_image;
        let base = peer.expected_version(now, self.timing.image_resend_after);
        (accepts_deltas && self.recent_images.has(base)).then_some(base)
    }

    /// The image carried by a heartbeat, whole or as a delta. `None` if it is not newer than this node's image, or if
    /// the delta has another base.
    pub(super) fn received_image(&self, heartbeat: &mut Heartbeat) -> Option<Rc<Image>> {
        let version = Version { term: heartbeat.version_term, index: heartbeat.version_index };
        if version <= self.version() && !self.durable.rescued {
            return None;
        }
        if let Some(image) = heartbeat.image.take() {
            return Some(Rc::new(image));
        }
        let delta = heartbeat.delta.take()?;
        let base = Version { term: heartbeat.base_term, index: heartbeat.base_index };
        let own_image = self.durable.image.as_ref().filter(|_| base == self.version() && !self.durable.rescued)?;
        if delta.rest.is_none() {
            return Some(own_image.clone());
        }
        own_image.apply(&delta).map(Rc::new)
    }
}
