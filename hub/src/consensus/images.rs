//! How the image reaches the other control nodes. Heartbeats never wait for it: it goes in messages of its own, as a change
//! of what the other side holds wherever this node still knows that, and whole otherwise.

use std::{collections::VecDeque, fmt, rc::Rc, time::Duration};

use wire::{Heartbeat, Image, ImageDelta};

use super::{
    core::{Core, Peer, Role},
    types::{Clock, Effect, Message},
};
use crate::store::Version;

/// How many images a control node remembers to tell changes of.
const REMEMBERED: usize = 6;

/// An image on its way to another control node; an answer to it may be under way.
#[derive(Clone, Copy, Debug)]
pub(super) struct SentImage {
    pub version: Version,
    /// The nonce of the message that carried it.
    pub nonce: u64,
    pub at: Duration,
}

/// The newest images that this node held, and the change that was last worked out.
#[derive(Clone, Default)]
pub(super) struct RecentImages {
    images: VecDeque<(Version, Rc<Image>)>,
    newest_delta: Option<(Version, Version, Rc<ImageDelta>)>,
}

impl fmt::Debug for RecentImages {
    /// Versions tell images apart.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_list().entries(self.images.iter().map(|i| i.0)).finish()
    }
}

impl RecentImages {
    /// Remembers an image.
    pub fn note(&mut self, version: Version, image: &Rc<Image>) {
        if self.images.back().is_some_and(|newest| newest.0 == version) {
            return;
        }
        self.images.push_back((version, image.clone()));
        if self.images.len() > REMEMBERED {
            self.images.pop_front();
        }
    }

    /// What leads from one image to a newer one, if the older is remembered. All who hold the same are told the same.
    fn delta(&mut self, base: Version, version: Version, image: &Rc<Image>) -> Option<Rc<ImageDelta>> {
        if let Some((from, to, delta)) = &self.newest_delta
            && (*from, *to) == (base, version)
        {
            return Some(delta.clone());
        }
        let (_, old) = self.images.iter().find(|i| i.0 == base)?;
        // A new leader writes the image that it found again under its own term.
        let is_same = Rc::ptr_eq(old, image);
        let delta = Rc::new(if is_same { ImageDelta::default() } else { old.delta_to(image) });
        self.newest_delta = Some((base, version, delta.clone()));
        Some(delta)
    }
}

impl Peer {
    /// The image that is under way to it, if an answer may still come.
    fn under_way(&self, now: Duration, patience: Duration) -> Option<Version> {
        self.image_sent.filter(|sent| now < sent.at + patience).map(|sent| sent.version)
    }

    /// Whether it is to be sent this image now: it lacks it, and it is not under way.
    fn wants_image(&self, version: Version, now: Duration, patience: Duration) -> bool {
        let lacks = self.version.is_some_and(|held| held != version);
        self.connected && lacks && self.under_way(now, patience) != Some(version)
    }

    /// What it holds once everything that is under way has come.
    fn will_hold(&self, now: Duration, patience: Duration) -> Version {
        let held = self.version.unwrap_or_default();
        self.under_way(now, patience).map_or(held, |sent| sent.max(held))
    }
}

impl Core {
    /// Sends the newest image to whoever lacks it.
    pub(super) fn send_images(&mut self, clock: Clock) {
        let names: Vec<String> = self.peers.keys().cloned().collect();
        names.iter().for_each(|name| self.send_image(clock, name));
    }

    /// Sends the newest image to another control node, if it lacks it.
    pub(super) fn send_image(&mut self, clock: Clock, to: &str) {
        let (version, patience) = (self.version(), self.timing.image_patience);
        let Some(image) = self.durable.image.clone().filter(|_| self.role == Role::Leader) else { return };
        let Some(peer) = self.peers.get(to) else { return };
        if !peer.wants_image(version, clock.now, patience) {
            return;
        }
        let base = peer.will_hold(clock.now, patience);
        let takes_deltas = peer.takes_deltas && !peer.rescued && !peer.empty;
        let delta = if takes_deltas { self.recent.delta(base, version, &image) } else { None };
        let nonce = self.next_nonce();
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
        if let Some(peer) = self.peers.get_mut(to) {
            peer.note_sent(nonce, clock.now);
            peer.image_sent = Some(SentImage { version, nonce, at: clock.now });
        }
        self.effect(Effect::Send { to: to.into(), message: Message::Heartbeat(Box::new(heartbeat)) });
    }

    /// The image that a heartbeat brings, if it is newer than this node's and fits it.
    pub(super) fn image_brought(&self, heartbeat: &mut Heartbeat) -> Option<Rc<Image>> {
        let version = Version { term: heartbeat.version_term, index: heartbeat.version_index };
        if version <= self.version() && !self.durable.rescued {
            return None;
        }
        if let Some(image) = heartbeat.image.take() {
            return Some(Rc::new(image));
        }
        let delta = heartbeat.delta.take()?;
        let base = Version { term: heartbeat.base_term, index: heartbeat.base_index };
        let own = self.durable.image.as_ref().filter(|_| base == self.version() && !self.durable.rescued)?;
        if delta.rest.is_none() {
            return Some(own.clone());
        }
        own.apply(&delta).map(Rc::new)
    }
}
