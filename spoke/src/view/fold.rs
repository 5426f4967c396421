use std::time::Duration;

use wire::Snapshot;

use super::{Event, Lead, Server, Share, View};

impl View {
    /// Folds one event in; gives a line for the journal when it changed something.
    pub(super) fn fold(&mut self, now: Duration, event: Event) -> Option<String> {
        match event {
            Event::News(news) => self.news(now, &news),
            Event::Returned { ret, sent } => {
                let leads: std::collections::BTreeMap<_, _> = ret
                    .primary_leases
                    .into_iter()
                    .map(|l| {
                        let until = sent + Duration::from_millis(l.valid_ms);
                        let old = self.leads.get(&l.group).filter(|o| o.server == l.server && now < o.until);
                        let since = old.map_or(now, |o| o.since);
                        (l.group, Lead { server: l.server, line: l.epoch, until, since })
                    })
                    .collect();
                let moved = leads.iter().any(|(g, l)| self.leads.get(g).is_none_or(|o| o.line != l.line))
                    || self.leads.keys().any(|g| !leads.contains_key(g));
                self.handed += u64::from(self.leads.keys().any(|g| !leads.contains_key(g)));
                self.leads = leads;
                for s in ret.shares {
                    let until = sent + Duration::from_millis(s.valid_ms);
                    self.shares.insert(s.server, Share { count: s.count, until, scarce: s.scarce, sharers: s.sharers });
                }
                self.forget_shares(now);
                self.waits.push((sent, ret.snapshot_version.unwrap_or_default()));
                if self.waits.len() > 32 {
                    self.waits.remove(0);
                }
                self.confirm();
                moved.then(|| {
                    let all: Vec<_> = self.leads.iter().map(|(g, l)| format!("{g}={}@{}", l.server, l.line)).collect();
                    format!("leads {}", all.join(" "))
                })
            }
            Event::Draining { server, draining } => {
                let s = self.servers.get_mut(&server)?;
                if draining == s.draining.is_some() {
                    return None;
                }
                s.draining = draining.then_some(now);
                Some(format!("{server} draining {draining}"))
            }
        }
    }

    fn news(&mut self, now: Duration, news: &Snapshot) -> Option<String> {
        let (mark, image) = (news.version, &news.image);
        // Never back to an older word, whoever sends it.
        if mark <= self.mark || self.image.as_ref().is_some_and(|i| image.sequence < i.sequence) {
            return None;
        }
        self.mark = mark;
        for s in &news.servers {
            let old = self.servers.get(&s.name);
            let since = |was: Option<Duration>, is: bool| is.then(|| was.unwrap_or(now));
            let next = Server {
                addr: s.addr.clone(),
                area: s.zone.clone(),
                draining: since(old.and_then(|o| o.draining), s.draining),
                gone: since(old.and_then(|o| o.gone), s.gone),
                cold: f64::from(s.cold) / 1000.0,
            };
            self.servers.insert(s.name.clone(), next);
        }
        self.servers.retain(|n, _| image.group_of(n).is_some() || news.servers.iter().any(|s| s.name == *n));
        self.emptied.retain(|a, _| image.evacuated_zones.contains(a));
        for a in &image.evacuated_zones {
            self.emptied.entry(a.clone()).or_insert(now);
        }
        let line = format!("news {}.{} sequence {}", mark.term, mark.count, image.sequence);
        self.image = Some(image.clone());
        self.forget_shares(now);
        self.confirm();
        Some(line)
    }

    /// Forgets shares that ran out, of servers that are in no group any more.
    fn forget_shares(&mut self, now: Duration) {
        let image = self.image.as_ref();
        let in_force = |server: &str| image.is_some_and(|image| image.group_of(server).is_some());
        self.shares.retain(|server, share| now < share.until || in_force(server));
    }

    fn confirm(&mut self) {
        let mark = self.mark;
        if let Some(t) = self.waits.iter().filter(|w| w.1 <= mark).map(|w| w.0).max() {
            self.confirmed = Some(self.confirmed.map_or(t, |c| c.max(t)));
            self.waits.retain(|w| w.1 > mark);
        }
    }
}
