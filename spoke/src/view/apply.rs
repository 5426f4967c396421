use std::time::Duration;

use wire::Snapshot;

use super::{Event, PrimaryLease, Server, Share, View};

impl View {
    /// Folds one event in; gives a line for the journal when it changed something.
    pub(super) fn apply(&mut self, now: Duration, event: Event) -> Option<String> {
        match event {
            Event::Snapshot(news) => self.apply_snapshot(now, &news),
            Event::HeartbeatAck { ack: ret, sent_at: sent } => {
                let leads: std::collections::BTreeMap<_, _> = ret
                    .primary_leases
                    .into_iter()
                    .map(|l| {
                        let until = sent + Duration::from_millis(l.valid_ms);
                        let old =
                            self.primary_leases.get(&l.group).filter(|o| o.server == l.server && now < o.valid_until);
                        let since = old.map_or(now, |o| o.held_since);
                        (
                            l.group,
                            PrimaryLease { server: l.server, epoch: l.epoch, valid_until: until, held_since: since },
                        )
                    })
                    .collect();
                let moved = leads.iter().any(|(g, l)| self.primary_leases.get(g).is_none_or(|o| o.epoch != l.epoch))
                    || self.primary_leases.keys().any(|g| !leads.contains_key(g));
                self.lost_leases += u64::from(self.primary_leases.keys().any(|g| !leads.contains_key(g)));
                self.primary_leases = leads;
                for s in ret.shares {
                    let until = sent + Duration::from_millis(s.valid_ms);
                    self.shares.insert(
                        s.server,
                        Share { count: s.count, valid_until: until, scarce: s.scarce, sharers: s.sharers },
                    );
                }
                self.remove_expired_shares(now);
                self.unconfirmed_acks.push((sent, ret.snapshot_version.unwrap_or_default()));
                if self.unconfirmed_acks.len() > 32 {
                    self.unconfirmed_acks.remove(0);
                }
                self.update_confirmation();
                moved.then(|| {
                    let all: Vec<_> =
                        self.primary_leases.iter().map(|(g, l)| format!("{g}={}@{}", l.server, l.epoch)).collect();
                    format!("leads {}", all.join(" "))
                })
            }
            Event::Draining { server, draining } => {
                let s = self.servers.get_mut(&server)?;
                if draining == s.draining_since.is_some() {
                    return None;
                }
                s.draining_since = draining.then_some(now);
                Some(format!("{server} draining {draining}"))
            }
        }
    }

    fn apply_snapshot(&mut self, now: Duration, news: &Snapshot) -> Option<String> {
        let (mark, image) = (news.version, &news.image);
        // Never back to an older word, whoever sends it.
        if mark <= self.snapshot_version || self.image.as_ref().is_some_and(|i| image.sequence < i.sequence) {
            return None;
        }
        self.snapshot_version = mark;
        for s in &news.servers {
            let old = self.servers.get(&s.name);
            let since = |was: Option<Duration>, is: bool| is.then(|| was.unwrap_or(now));
            let next = Server {
                addr: s.addr.clone(),
                zone: s.zone.clone(),
                draining_since: since(old.and_then(|o| o.draining_since), s.draining),
                gone_since: since(old.and_then(|o| o.gone_since), s.gone),
                cold: f64::from(s.cold) / 1000.0,
            };
            self.servers.insert(s.name.clone(), next);
        }
        self.servers.retain(|n, _| image.group_of(n).is_some() || news.servers.iter().any(|s| s.name == *n));
        self.evacuated_since.retain(|a, _| image.evacuated_zones.contains(a));
        for a in &image.evacuated_zones {
            self.evacuated_since.entry(a.clone()).or_insert(now);
        }
        let line = format!("news {}.{} sequence {}", mark.term, mark.count, image.sequence);
        self.image = Some(image.clone());
        self.remove_expired_shares(now);
        self.update_confirmation();
        Some(line)
    }

    /// Forgets shares that ran out, of servers that are in no group any more.
    fn remove_expired_shares(&mut self, now: Duration) {
        let image = self.image.as_ref();
        let in_force = |server: &str| image.is_some_and(|image| image.group_of(server).is_some());
        self.shares.retain(|server, share| now < share.valid_until || in_force(server));
    }

    fn update_confirmation(&mut self) {
        let mark = self.snapshot_version;
        if let Some(t) = self.unconfirmed_acks.iter().filter(|w| w.1 <= mark).map(|w| w.0).max() {
            self.confirmed_at = Some(self.confirmed_at.map_or(t, |c| c.max(t)));
            self.unconfirmed_acks.retain(|w| w.1 > mark);
        }
    }
}
