use std::{collections::BTreeMap, rc::Rc, time::Duration};

use base::{
    ErrorKind,
    edge::backend,
    http::Client,
    position::Position,
    runtime::{Component, TaskGuard},
};
use wire::{Election, Group, Image};

use super::Leadership;

/// Where a group's leadership stands.
#[derive(Clone, Debug, Default)]
pub struct GroupLeadership {
    pub line: u64,
    /// Who leads, in a group whose servers confirm.
    pub server: String,
    /// Since when the platform knows that this hub holds the duty, so that no earlier holder's call counts.
    pub fenced: Option<Duration>,
    /// Servers that an earlier holder may have kept from receiving were freed.
    pub freed: bool,
    /// Whether leader grants are given.
    pub granting: bool,
    /// Whether the elected server was seen leading on its line, with a second server following it.
    pub proven: bool,
    /// When that was.
    pub since: Duration,
    /// An election was begun in this term: what nodes still tell of the line before no longer counts.
    pub closed: bool,
    /// A server that an operator wishes to lead.
    pub wish: Option<String>,
    /// Since when another server is in sight of more nodes than the leader.
    pub dim: Option<Duration>,
    /// Until when the leader is to be relieved, as an operator takes it out.
    pub relieve: Option<Duration>,
    /// A naming in this term got no clear answer: it may still be carried out.
    pub unclear: bool,
    /// An election is due, and the list of servers is not known to be complete.
    pub waits_for_list: bool,
    /// Why the next election is held.
    pub why: String,
}

/// A server that could lead.
struct Candidate {
    name: String,
    place: Position,
    log: u64,
    fit: bool,
    cold: u32,
}

impl Leadership {
    /// Keeps one task for each group.
    pub(super) async fn tend_groups(self: Rc<Self>) {
        let mut jobs: BTreeMap<String, TaskGuard> = BTreeMap::new();
        loop {
            let groups: Vec<String> =
                self.consensus.image().iter().flat_map(|i| i.groups.iter().map(|g| g.name.clone())).collect();
            jobs.retain(|g, _| groups.contains(g));
            self.standings.borrow_mut().retain(|g, _| groups.contains(g));
            for g in groups {
                jobs.entry(g.clone()).or_insert_with(|| {
                    self.standings.borrow_mut().entry(g.clone()).or_default();
                    let me = self.clone();
                    self.env.spawn(async move { me.tend_group(g).await })
                });
            }
            self.env.sleep(self.bounds.control_heartbeat()).await;
        }
    }

    pub(super) fn edit(&self, group: &str, with: impl FnOnce(&mut GroupLeadership)) {
        if let Some(s) = self.standings.borrow_mut().get_mut(group) {
            with(s);
        }
    }

    /// Standings as operators read them.
    pub fn standings(&self) -> Vec<(String, GroupLeadership)> {
        self.standings.borrow().iter().map(|(g, s)| (g.clone(), s.clone())).collect()
    }

    /// An operator's wish that a server lead its group.
    pub fn wish(&self, server: &str) -> Result<(), ErrorKind> {
        let image = self.consensus.image().ok_or(ErrorKind::Unconfirmed)?;
        let group = image.group_of(server).ok_or(ErrorKind::Invalid)?;
        self.edit(&group.name, |s| s.wish = Some(server.into()));
        Ok(())
    }

    /// Before a leader is taken out of its group it hands over; false when nobody could take over in time.
    pub async fn relieve(&self, group: &str, server: &str) -> bool {
        let end = self.env.now() + self.bounds.call_timeout() * 2;
        self.edit(group, |s| s.relieve = Some(end));
        let wait = self.bell.wait_until(|| {
            let image = self.consensus.image()?;
            let other = image.election(group).is_none_or(|e| e.server != server);
            let proven = self.standings.borrow().get(group).is_some_and(|s| s.proven);
            (other && proven).then_some(())
        });
        let out = self.env.timeout(end.saturating_sub(self.env.now()), wait).await.is_ok();
        self.edit(group, |s| s.relieve = None);
        out
    }

    async fn tend_group(&self, group: String) {
        loop {
            self.env.sleep(self.bounds.control_heartbeat() / 2).await;
            if !self.consensus.leads() {
                continue;
            }
            let Some(image) = self.consensus.image() else { continue };
            let Some(g) = image.groups.iter().find(|x| x.name == group).cloned() else { continue };
            let st = self.standings.borrow().get(&group).cloned().unwrap_or_default();
            if g.confirms {
                self.tend_confirming(&g, &image).await;
                continue;
            }
            match image.election(&group).cloned() {
                None => self.elect(&g, None, false).await,
                Some(e) => self.check_primary(&g, &e, st, &image).await,
            }
        }
    }

    async fn check_primary(&self, g: &Group, e: &Election, st: GroupLeadership, image: &Image) {
        let none = image.voters(g).next().is_none();
        if none || self.leader_lost(image, &e.server) {
            let why =
                if none { "no log of it counts yet".into() } else { format!("{} lost part of its log", e.server) };
            self.edit(&g.name, |s| s.why = why);
            self.elect(g, Some(e), false).await;
            return;
        }
        let proven = st.proven && st.line == e.epoch;
        self.edit(&g.name, |s| {
            s.line = e.epoch;
            s.proven = proven;
        });
        if !proven {
            if self.proof(g, e) {
                self.log(Component::Elect, format!("{} leads {} on line {}", e.server, g.name, e.epoch));
                let now = self.env.now();
                self.edit(&g.name, |s| {
                    s.proven = true;
                    s.granting = true;
                    s.closed = false;
                    s.since = now;
                });
                self.relay.request_heartbeats();
                self.bell.notify_waiters();
                return;
            }
            self.edit(&g.name, |s| s.granting = false);
            self.urgent.set(self.env.now() + self.bounds.server_gone_after());
            let log = image.log(&e.server).map_or(0, |l| l.log_id);
            self.name(&g.name, e, log).await;
            let wait = self.bell.wait_until(|| self.proof(g, e).then_some(()));
            let most = self.bounds.server_gone_after();
            if self.env.timeout(most, wait).await.is_err() && self.quiet(&e.server, self.env.now()) > most {
                self.edit(&g.name, |s| s.why = format!("{} did not take the lead", e.server));
                self.elect(g, Some(e), false).await;
            }
            return;
        }
        let told = |s: &str| self.servers.borrow().get(s).cloned();
        let leader = told(&e.server);
        let now = self.env.now();
        // Nodes that met a returning leader late still count their old silence; they get time to see it.
        let known = now.saturating_sub(st.since);
        let quiet = self.quiet(&e.server, now).min(known);
        if quiet > self.bounds.server_gone_after() {
            self.edit(&g.name, |s| s.why = format!("{} is gone", e.server));
            self.elect(g, Some(e), false).await;
            return;
        }
        let away = leader.is_some_and(|t| t.draining || image.evacuated_zones.contains(&t.area));
        let away = away || g.leaving_servers.contains(&e.server) || st.relieve.is_some_and(|t| now < t);
        let wish = st.wish.clone().filter(|w| *w != e.server && g.servers.contains(w));
        if !away && wish.is_none() {
            // A leader that half has lost sight of gets no new grants, so that they run out while it is watched.
            let granting = quiet < self.bounds.server_gone_after() / 2;
            if st.granting != granting {
                self.urgent.set(self.env.now() + self.bounds.server_gone_after());
                self.log(
                    Component::Elect,
                    format!("{} {}", e.server, if granting { "is seen again" } else { "is missed" }),
                );
            }
            self.edit(&g.name, |s| {
                s.granting = granting;
                s.wish = None;
            });
            self.watch_reach(g, e, &st, image, now);
            return;
        }
        let able = |r: &Candidate| r.fit && r.name != e.server && (away || wish.as_ref().is_none_or(|w| *w == r.name));
        if self.runners(g, image, Duration::ZERO).iter().any(able) {
            self.edit(&g.name, |s| {
                s.why = format!("{} is to be relieved", e.server);
            });
            self.elect(g, Some(e), true).await;
        }
    }

    /// A leader that some nodes can't reach, while another server is in sight of more, is to hand over to that one: two
    /// zones_heard that lost each other both still see the third.
    fn watch_reach(&self, g: &Group, e: &Election, st: &GroupLeadership, image: &Image, now: Duration) {
        let blind = |s: &str| {
            let fresh = now.saturating_sub(self.bounds.node_heartbeat() * 4);
            let seats = self.seats.borrow();
            let all = seats.values().filter(|x| !x.hub && x.heard > fresh);
            all.filter(|x| x.blind(s, now, self.bounds.server_gone_after() / 2)).count()
        };
        let own = blind(&e.server);
        let rows = if own == 0 {
            Vec::new()
        } else {
            self.runners(g, image, now.saturating_sub(self.bounds.server_gone_after()))
        };
        let other =
            rows.iter().filter(|r| r.fit && r.name != e.server).map(|r| (blind(&r.name), r)).min_by_key(|x| x.0);
        let Some((_, other)) = other.filter(|x| x.0 < own) else {
            return self.edit(&g.name, |s| s.dim = None);
        };
        let since = st.dim.unwrap_or(now);
        let ripe =
            now - since > self.bounds.server_gone_after() / 2 && now - st.since > self.bounds.server_gone_after() * 2;
        self.edit(&g.name, |s| s.dim = Some(since));
        if ripe {
            self.log(
                Component::Elect,
                format!("{own} nodes can't reach {}; {} is in sight of more", e.server, other.name),
            );
            self.edit(&g.name, |s| {
                s.dim = None;
                s.wish = Some(other.name.clone());
            });
        }
    }

    /// A node tells of a grant that an earlier leading hub gave: that hub had the proof, and the line is the newest still.
    pub(super) fn note_held_leases(&self, beat: &wire::NodeHeartbeat, image: &Image) {
        let now = self.env.now();
        for l in &beat.primary_leases {
            if image.groups.iter().any(|g| g.name == l.group && g.confirms) {
                self.note_held_lease(l);
                continue;
            }
            if image.election(&l.group).is_none_or(|e| e.epoch != l.epoch || e.server != l.server) {
                continue;
            }
            let mut all = self.standings.borrow_mut();
            let Some(st) = all.get_mut(&l.group) else { continue };
            if !st.proven && !st.closed {
                *st = GroupLeadership { line: l.epoch, granting: true, proven: true, since: now, ..st.clone() };
            }
        }
    }

    /// The elected server leads on its line, and a second server holds the line's first entry.
    fn proof(&self, g: &Group, e: &Election) -> bool {
        let seen = self.seen.borrow();
        let leads = seen.get(&e.server).is_some_and(|s| s.leads && s.place.epoch == e.epoch);
        let Some(image) = self.consensus.image() else { return false };
        let alone = image.voters(g).count() <= 1 && g.servers.len() == 1;
        let follows = |s: &String| seen.get(s).is_some_and(|x| x.place.epoch == e.epoch) && self.counts(&image, s);
        leads
            && self.counts(&image, &e.server)
            && (alone || g.servers_and_leaving().any(|s| *s != e.server && follows(s)))
    }

    /// For how long at least half of those who look at a server have had no answer from it. Where nobody listens at
    /// its address any more, waiting longer tells nothing: that counts as the whole time.
    fn quiet(&self, server: &str, now: Duration) -> Duration {
        let fresh = now.saturating_sub(self.bounds.node_heartbeat() * 4);
        let (_, since) = self.consensus.term();
        let most = now.saturating_sub(since);
        let own = self.seen.borrow().get(server).map_or(most, |s| now.saturating_sub(s.at));
        let shut = self.bounds.server_gone_after() + self.bounds.control_heartbeat();
        let own = if self.refused.borrow().contains(server) { shut } else { own.min(most) };
        let mut ages = vec![own];
        for seat in self.seats.borrow().values().filter(|s| !s.hub && s.heard > fresh) {
            if let Some(x) = seat.sights.get(server) {
                let age = (Duration::from_millis(x.age) + now.saturating_sub(seat.heard)).min(most);
                ages.push(if x.refused { shut } else { age });
            }
        }
        ages.sort();
        ages[(ages.len() - 1) / 2]
    }

    fn runners(&self, g: &Group, image: &Image, since: Duration) -> Vec<Candidate> {
        let seen = self.seen.borrow();
        let servers = self.servers.borrow();
        let row = |s: &String| {
            let x = seen.get(s)?;
            let t = servers.get(s)?;
            let first = image.voters(g).next().is_none();
            (x.asked >= since && (first || self.counts(image, s))).then(|| Candidate {
                name: s.clone(),
                place: x.place,
                log: x.log,
                fit: !t.draining
                    && !t.gone
                    && !image.evacuated_zones.contains(&t.area)
                    && !g.leaving_servers.contains(s),
                cold: (t.cold * 20.0) as u32,
            })
        };
        g.servers_and_leaving().filter_map(row).collect()
    }

    /// Chooses a leader once no older grant can stand; `planned` lets the present one be caught up with first.
    async fn elect(&self, g: &Group, old: Option<&Election>, planned: bool) {
        let start = self.env.now();
        if old.is_some() {
            self.edit(&g.name, |s| {
                s.granting = false;
                s.proven = false;
                s.closed = true;
            });
            let why = self.standings.borrow().get(&g.name).map(|s| s.why.clone()).unwrap_or_default();
            self.log(Component::Elect, format!("new leader needed for {}: {why}", g.name));
            self.relay.request_heartbeats();
            self.bell.notify_waiters();
            while !self.leases.borrow().primary_free(&g.name, self.env.now()) && !self.disabled.no_wait {
                self.env.sleep(self.bounds.control_heartbeat() / 4).await;
                if !self.consensus.leads() {
                    return;
                }
            }
        }
        let since = self.env.now();
        self.urgent.set(since + self.bounds.server_gone_after());
        self.bell.notify_waiters();
        let limit = self.bounds.evacuation_grace();
        let chosen = loop {
            let _ = self
                .env
                .timeout(self.bounds.control_heartbeat() / 4, self.bell.changed_since(self.bell.generation()))
                .await;
            if !self.consensus.leads() {
                return;
            }
            let Some(image) = self.consensus.image() else { return };
            let Some(g) = &image.groups.iter().find(|x| x.name == g.name).cloned() else { return };
            let need = if self.disabled.read_one { 1 } else { self.need(&image, g) };
            let rows = self.runners(g, &image, since);
            if rows.len() < need {
                let why =
                    format!("{} of {need} logs that count can be read: {}", rows.len(), self.missing(&image, g, since));
                self.edit(&g.name, |s| s.why = why);
                if planned && self.env.now() - start > limit {
                    return;
                }
                continue;
            }
            // Give the last one a moment to answer too, so that a tie is broken well; not if it is the one missed.
            let gone = |s: &String| self.quiet(s, self.env.now()) > self.bounds.server_gone_after() / 2;
            let absent = g.servers_and_leaving().filter(|s| !rows.iter().any(|r| r.name == **s)).any(|s| !gone(s));
            if absent && self.env.now() - since < self.bounds.sampling_interval() * 2 {
                continue;
            }
            let top = rows.iter().map(|r| r.place).max().unwrap_or_default();
            let held = |r: &Candidate| planned && old.is_some_and(|o| o.server == r.name);
            let wish = self.standings.borrow().get(&g.name).and_then(|s| s.wish.clone());
            let best = rows.iter().filter(|r| r.place == top).min_by_key(|r| {
                (
                    held(r),
                    !r.fit,
                    wish.as_ref() != Some(&r.name),
                    r.cold,
                    old.is_none_or(|o| o.server != r.name),
                    r.name.clone(),
                )
            });
            let Some(best) = best else { continue };
            let late = self.env.now() - since > limit / 2;
            let other = wish.as_ref().is_some_and(|w| *w != best.name);
            if planned && (!best.fit || held(best) || other) {
                if late {
                    // It can't be had now; the present leader goes on.
                    self.edit(&g.name, |s| s.wish = None);
                    return;
                }
                continue;
            }
            let line = rows.iter().map(|r| r.place.epoch).max().unwrap_or(0);
            let elect = Election {
                group: g.name.clone(),
                epoch: line.max(old.map_or(0, |o| o.epoch)) + 1,
                server: best.name.clone(),
                start_epoch: best.place.epoch,
                start_index: best.place.index,
            };
            break (elect, best.log, self.first_logs(&image, g, since));
        };
        let (elect, log, first) = chosen;
        let (server, line) = (&elect.server, elect.epoch);
        self.log(Component::Elect, format!("electing {server} for {} on line {line}", g.name));
        let before = old.map_or(0, |o| o.epoch);
        let put = elect.clone();
        let out = self
            .consensus
            .propose(move |image| {
                if image.election(&put.group).map_or(0, |e| e.epoch) != before {
                    return Err(ErrorKind::VersionConflict);
                }
                let mut image = image.clone();
                image.elections.retain(|e| e.group != put.group);
                image.elections.push(put);
                image.logs.retain(|l| !first.iter().any(|f| f.server == l.server));
                image.logs.extend(first);
                Ok(image)
            })
            .await;
        if out.is_ok() {
            self.publish();
            self.name(&g.name, &elect, log).await;
        }
    }

    /// Calls the platform with the elected leader's name; safe to repeat.
    async fn name(&self, group: &str, e: &Election, log: u64) {
        let Some(addr) = self.platform.get() else {
            self.log(Component::Elect, "no platform is set; nobody can be named leader");
            return;
        };
        let body = backend::promotion_body(group, &e.server, e.epoch, log, e.start_position());
        let span = self.bounds.call_timeout();
        match Client::once(&self.env, addr, "POST", backend::PROMOTION_PATH, &[], body, span).await {
            Ok(out) if out.status < 300 => {}
            Ok(out) => {
                self.log(Component::Elect, format!("the platform answered {} to naming {}", out.status, e.server))
            }
            Err(err) => self.log(Component::Elect, format!("the call naming {} failed: {err}", e.server)),
        }
    }
}
