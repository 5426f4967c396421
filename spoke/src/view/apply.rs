//! How each event changes the view.

use std::{
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time::Duration,
};

use wire::{Image, Snapshot};

use super::{Event, PrimaryLease, Server, Share, View};

/// How many acknowledged heartbeats are kept until their snapshot version arrives.
const MAX_UNCONFIRMED_ACKS: usize = 32;

/// By server, the position of its group in the image.
fn group_positions(image: &Image) -> BTreeMap<String, usize> {
    let of_group = |(position, group): (usize, &wire::Group)| {
        group.servers.iter().map(move |server| (server.clone(), position)).collect::<Vec<_>>()
    };
    image.groups.iter().enumerate().rev().flat_map(of_group).collect()
}

impl View {
    /// Applies one event. Returns a line for the journal if the event changed something.
    pub(super) fn apply(&mut self, now: Duration, event: Event) -> Option<String> {
        match event {
            Event::Snapshot(snapshot) => self.apply_snapshot(now, &snapshot),
            Event::HeartbeatAck { ack, sent_at } => {
                let leases: BTreeMap<_, _> = ack
                    .primary_leases
                    .into_iter()
                    .map(|grant| {
                        let valid_until = sent_at + Duration::from_millis(grant.valid_ms);
                        let previous = self
                            .primary_leases
                            .get(&grant.group)
                            .filter(|lease| lease.server == grant.server && now < lease.valid_until);
                        let held_since = previous.map_or(now, |lease| lease.held_since);
                        (
                            grant.group,
                            PrimaryLease { server: grant.server, epoch: grant.epoch, valid_until, held_since },
                        )
                    })
                    .collect();
                let changed = leases
                    .iter()
                    .any(|(group, new)| self.primary_leases.get(group).is_none_or(|old| old.epoch != new.epoch))
                    || self.primary_leases.keys().any(|group| !leases.contains_key(group));
                self.lost_leases += u64::from(self.primary_leases.keys().any(|group| !leases.contains_key(group)));
                self.primary_leases = leases;
                for grant in ack.shares {
                    let valid_until = sent_at + Duration::from_millis(grant.valid_ms);
                    self.shares.insert(
                        grant.server,
                        Share { count: grant.count, valid_until, scarce: grant.scarce, sharers: grant.sharers },
                    );
                }
                self.remove_expired_shares(now);
                self.unconfirmed_acks.push((sent_at, ack.snapshot_version.unwrap_or_default()));
                if self.unconfirmed_acks.len() > MAX_UNCONFIRMED_ACKS {
                    self.unconfirmed_acks.remove(0);
                }
                self.update_confirmation();
                changed.then(|| {
                    let all: Vec<_> = self
                        .primary_leases
                        .iter()
                        .map(|(group, lease)| format!("{group}={}@{}", lease.server, lease.epoch))
                        .collect();
                    format!("leads {}", all.join(" "))
                })
            }
            Event::Draining { server, draining } => {
                let state = self.servers.get_mut(&server)?;
                if draining == state.draining_since.is_some() {
                    return None;
                }
                state.draining_since = draining.then_some(now);
                Some(format!("{server} draining {draining}"))
            }
        }
    }

    fn apply_snapshot(&mut self, now: Duration, snapshot: &Snapshot) -> Option<String> {
        let (version, image) = (snapshot.version, &snapshot.image);
        // An older snapshot never replaces a newer one, whichever node sends it.
        if version <= self.snapshot_version || self.image.as_ref().is_some_and(|i| image.sequence < i.sequence) {
            return None;
        }
        self.snapshot_version = version;
        for server in &snapshot.servers {
            let old = self.servers.get(&server.name);
            let since = |was: Option<Duration>, is: bool| is.then(|| was.unwrap_or(now));
            let new = Server {
                addr: server.addr.clone(),
                zone: server.zone.clone(),
                draining_since: since(old.and_then(|o| o.draining_since), server.draining || server.deregistered),
                gone_since: since(old.and_then(|o| o.gone_since), server.unreachable),
                cold: f64::from(server.coldness_permille) / 1000.0,
            };
            self.servers.insert(server.name.clone(), new);
        }
        if !self.image.as_ref().is_some_and(|old| Rc::ptr_eq(old, image)) {
            self.group_positions = group_positions(image);
            self.image = Some(image.clone());
        }
        let published: BTreeSet<&str> = snapshot.servers.iter().map(|server| server.name.as_str()).collect();
        let group_positions = &self.group_positions;
        self.servers.retain(|name, _| group_positions.contains_key(name) || published.contains(name.as_str()));
        self.evacuated_since.retain(|zone, _| image.evacuated_zones.contains(zone));
        for zone in &image.evacuated_zones {
            self.evacuated_since.entry(zone.clone()).or_insert(now);
        }
        let line = format!("news {}.{} sequence {}", version.term, version.count, image.sequence);
        self.remove_expired_shares(now);
        self.update_confirmation();
        Some(line)
    }

    /// Removes expired shares of servers that belong to no group any more.
    fn remove_expired_shares(&mut self, now: Duration) {
        let group_positions = &self.group_positions;
        self.shares.retain(|server, share| now < share.valid_until || group_positions.contains_key(server));
    }

    /// Moves `confirmed_at` to the latest heartbeat whose acknowledged snapshot version the node has.
    fn update_confirmation(&mut self) {
        let version = self.snapshot_version;
        if let Some(sent_at) = self.unconfirmed_acks.iter().filter(|w| w.1 <= version).map(|w| w.0).max() {
            self.confirmed_at = Some(self.confirmed_at.map_or(sent_at, |c| c.max(sent_at)));
            self.unconfirmed_acks.retain(|w| w.1 > version);
        }
    }
}
