//! The decision object: asked where a statement may go and whether that still holds. It sends nothing itself.

use std::{rc::Rc, time::Duration};

use crate::{
    gauge::{Gauges, Key},
    run::{DisabledGuards, Pools},
    view::{Journal, View},
};
use base::{
    Bounds, ErrorKind,
    edge::{backend::ResponseMetadata, client::Token, operator::Consistency},
    position::Position,
    runtime::Env,
};
use pick::choose;

/// On what a send rests; looked at again before the send and before the answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Basis {
    /// The leader grant of this line.
    Leader { line: u64 },
    /// A head reading asked for at this time.
    Head { asked: Duration, head: Position },
    /// A position the server was seen to hold, or none where nothing is promised.
    Seen { place: Position },
}

/// Where to send.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    pub server: String,
    pub group: String,
    pub basis: Basis,
}

/// What the executor is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    Send(Target),
    Return(ErrorKind),
}

/// A doorway as a statement finds it.
#[derive(Clone, Debug)]
pub struct MatchedRoute {
    pub name: String,
    pub group: String,
    pub promise: Consistency,
    pub fall: bool,
    /// How long a statement may take, how soon an answer is wanted, how old a commit a read may miss; where told.
    pub most: Option<Duration>,
    pub aim: Option<Duration>,
    pub fresh: Option<Duration>,
}

/// Asked by the executor.
pub struct Decider {
    pub env: Env,
    pub name: String,
    pub area: String,
    pub journal: Rc<Journal>,
    pub gauges: Rc<Gauges>,
    pub pools: Rc<Pools>,
    pub bounds: Bounds,
    /// Serve callers on while the own area is emptied of servers.
    pub keep_on: bool,
    pub disabled: DisabledGuards,
}

impl Decider {
    /// Whether this node may take new work at all.
    pub fn admit(&self) -> Result<(), ErrorKind> {
        self.able(Duration::ZERO)
    }

    /// Whether a transaction that is open may go on here.
    pub fn stay(&self) -> Result<(), ErrorKind> {
        self.able(self.bounds.evacuation_grace())
    }

    /// Whether the leading hub's word was the newest lately.
    pub fn confirmed(&self) -> bool {
        let view = self.journal.view();
        let fresh = view.confirmed.is_some_and(|t| self.env.now() <= t + self.bounds.confirmation_validity());
        fresh || (self.disabled.no_confirm && view.image.is_some())
    }

    /// Whether work may go on, in an area that was emptied no longer than `since` ago.
    fn able(&self, since: Duration) -> Result<(), ErrorKind> {
        let emptied = self.journal.view().emptied.get(&self.area).is_some_and(|t| self.env.now() >= *t + since);
        if emptied && !self.disabled.no_empty && !self.keep_on {
            return Err(ErrorKind::ZoneEvacuated);
        }
        if self.confirmed() { Ok(()) } else { Err(ErrorKind::Unconfirmed) }
    }

    /// The doorway of a name.
    pub fn gate(&self, name: &str) -> Result<MatchedRoute, ErrorKind> {
        let view = self.journal.view();
        view.image.as_ref().ok_or(ErrorKind::Unconfirmed)?;
        let d = view.doorway(name).ok_or(ErrorKind::NoDatabase)?;
        let promise = Consistency::parse(&d.consistency).ok_or(ErrorKind::NoDatabase)?;
        let span = |ms: u64| (ms > 0).then(|| Duration::from_millis(ms));
        Ok(MatchedRoute {
            name: d.name.clone(),
            group: d.group.clone(),
            promise,
            fall: d.fallback,
            most: span(d.statement_ms),
            aim: span(d.aim_ms),
            fresh: span(d.fresh_ms),
        })
    }

    /// How long a statement may take, by the operator's word.
    pub fn limit(&self) -> (Duration, Duration) {
        let view = self.journal.view();
        let l = view.image.as_ref().and_then(|i| i.limits).unwrap_or_default();
        let or = |n: u64, d: Duration| if n == 0 { d } else { Duration::from_millis(n) };
        (or(l.statement_ms, self.bounds.statement_timeout()), or(l.idle_ms, self.bounds.transaction_idle_timeout()))
    }

    /// Whether a server must get no new work: draining, gone, or in an emptied area. Judged at every statement.
    fn vetoed(&self, view: &View, server: &str, leads: bool) -> bool {
        let now = self.env.now();
        let Some(s) = view.servers.get(server) else { return true };
        let emptied = view.emptied.get(&s.area).copied().filter(|_| !self.disabled.no_empty);
        if leads {
            // A leader works on until its successor does, but not past the bound.
            let since = [s.draining, emptied].into_iter().flatten().min();
            return since.is_some_and(|t| now > t + self.bounds.evacuation_grace());
        }
        let dead = self.gauges.sight(server).fails > 0;
        (s.draining.is_some() || s.gone.is_some() || emptied.is_some() || dead) && !self.disabled.no_veto
    }

    /// Whether a server may still be worked with.
    pub fn open(&self, target: &Target) -> bool {
        let leads = matches!(target.basis, Basis::Leader { .. });
        let view = self.journal.view();
        let allowed =
            view.image.as_ref().and_then(|i| i.group_of(&target.server)).is_some_and(|g| g.name == target.group);
        (allowed || self.disabled.no_group) && !self.vetoed(&view, &target.server, leads)
    }

    fn leader(&self, view: &View, group: &str) -> Result<Target, ErrorKind> {
        let now = self.env.now();
        let l = view.leads.get(group).ok_or(ErrorKind::NoPrimary)?;
        if now >= l.until && !self.disabled.no_fence {
            return Err(ErrorKind::NoPrimary);
        }
        if self.vetoed(view, &l.server, true) {
            return Err(ErrorKind::NoPrimary);
        }
        Ok(Target { server: l.server.clone(), group: group.into(), basis: Basis::Leader { line: l.line } })
    }

    /// Where a write or a transaction may go.
    pub fn write(&self, gate: &MatchedRoute) -> Order {
        let now = self.env.now();
        let view = self.journal.view();
        let lead = match self.leader(&view, &gate.group) {
            Ok(t) => t,
            Err(k) => return Order::Return(k),
        };
        let Some(g) = view.image.as_ref().and_then(|i| i.groups.iter().find(|g| g.name == gate.group)) else {
            return Order::Return(ErrorKind::NoDatabase);
        };
        // With no follower that receives, a commit could not be acknowledged: refuse while "not kept" is certain.
        let since = now.saturating_sub(self.bounds.freshness_bound());
        if let Some((_, head)) = self.gauges.head(&gate.group, since) {
            let follows = |s: &&String| **s != lead.server && self.gauges.holds(s, head) && self.gauges.counts(s);
            if g.servers.len() > 1 && g.servers.iter().filter(follows).count() == 0 {
                return Order::Return(ErrorKind::NoServer);
            }
        }
        Order::Send(lead)
    }

    /// Where a read may go: inside the standing list, less the vetoed, with the doorway's promise kept.
    pub fn read(&self, gate: &MatchedRoute, key: &Key, token: Token, tried: &[String]) -> Order {
        let view = self.journal.view();
        let lead = self.leader(&view, &gate.group);
        let own = gate.promise == Consistency::Session && token.outcome_unknown && !self.disabled.no_token;
        if gate.promise == Consistency::Leader || own {
            return match lead {
                Ok(t) if tried.iter().filter(|s| **s == t.server).count() < 2 => Order::Send(t),
                Ok(_) => Order::Return(ErrorKind::ServerFailed),
                Err(k) => Order::Return(k),
            };
        }
        let leader = view.leads.get(&gate.group).map(|l| l.server.clone());
        let Some(g) = view.image.as_ref().and_then(|i| i.groups.iter().find(|g| g.name == gate.group)) else {
            return Order::Return(ErrorKind::NoDatabase);
        };
        let any = view.servers.keys().filter(|_| self.disabled.no_group);
        let own = g.servers.iter().filter(|_| !self.disabled.no_group);
        let free: Vec<&String> = own
            .chain(any)
            .filter(|s| Some(*s) != leader.as_ref() && !tried.contains(s))
            .filter(|s| !self.vetoed(&view, s, false) && self.pools.limit(s) > 1)
            .collect();
        let fit: Vec<(&String, Basis)> =
            free.iter().filter_map(|s| Some((*s, self.promise(gate, token, s)?))).collect();
        if let Some(t) = self.choose(gate, key, &fit) {
            return Order::Send(t);
        }
        match lead {
            Ok(t) if gate.fall && !tried.contains(&t.server) => Order::Send(t),
            Ok(_) => Order::Return(ErrorKind::NoServer),
            Err(k) => Order::Return(k),
        }
    }

    /// On what the promise would rest if this follower answered; `None` when it can't keep it.
    fn promise(&self, gate: &MatchedRoute, token: Token, server: &str) -> Option<Basis> {
        let now = self.env.now();
        let none = Basis::Seen { place: Position::default() };
        match gate.promise {
            Consistency::Leader => None,
            Consistency::Any => Some(none),
            Consistency::Session if self.disabled.no_token => Some(none),
            Consistency::Session => {
                let held = token.read_floor == Position::default() || self.gauges.holds(server, token.read_floor);
                held.then_some(Basis::Seen { place: token.read_floor })
            }
            Consistency::Bound if self.disabled.no_fresh => Some(none),
            Consistency::Bound => {
                // A sixth of the bound is left for the way there and back.
                let room = self.bounds.freshness_bound() * 5 / 6;
                let (asked, head) = self.gauges.head(&gate.group, now.saturating_sub(room))?;
                self.gauges.holds(server, head).then_some(Basis::Head { asked, head })
            }
        }
    }

    fn choose(&self, gate: &MatchedRoute, key: &Key, fit: &[(&String, Basis)]) -> Option<Target> {
        let mut lists = self.gauges.lists.borrow_mut();
        let list = lists.entry(key.clone()).or_default();
        let sampled = fit.iter().find(|(s, _)| {
            !list.standing.contains(s) && list.samples.get(*s).is_some_and(|n| *n > 0) && self.env.rand_below(8) == 0
        });
        let (server, basis) = match sampled {
            Some((s, b)) => {
                if let Some(n) = list.samples.get_mut(*s) {
                    *n -= 1;
                }
                (*s, b)
            }
            None => {
                let within: Vec<_> = fit.iter().filter(|(s, _)| list.standing.contains(s)).collect();
                // Fails open to those that are left, never to a vetoed server or past the doorway.
                let rows: Vec<_> = if within.is_empty() { fit.iter().collect() } else { within };
                let pairs: Vec<(f64, f64)> = rows
                    .iter()
                    .map(|(s, _)| (list.weights.get(*s).copied().unwrap_or(1.0), self.pools.load(s)))
                    .collect();
                let roll = || self.env.rand_below(1 << 20) as f64 / (1u64 << 20) as f64;
                let (s, b) = rows[choose(&pairs, (roll(), roll()))?];
                (*s, b)
            }
        };
        Some(Target { server: server.clone(), group: gate.group.clone(), basis: basis.clone() })
    }

    /// Where a write or a transaction of a group whose servers confirm may go. One that answers nothing here may be
    /// reached from another node.
    pub fn lead(&self, group: &str) -> Result<Target, ErrorKind> {
        let target = self.leader(&self.journal.view(), group)?;
        if self.silent(&target.server) { Err(ErrorKind::NoServer) } else { Ok(target) }
    }

    /// Whether what this node asks of a server stands unanswered for too long.
    fn silent(&self, server: &str) -> bool {
        let x = self.gauges.sight(server);
        x.silent(self.pools.trying(server)).is_some_and(|t| self.env.now() > t + self.bounds.server_missed_after() / 2)
    }

    /// Whether the leave to act on the target as leader stands now. What was begun under it may be ended without it: the
    /// server itself refuses once another leads, and no other's commit is acknowledged while this leave is out.
    pub fn leads(&self, target: &Target) -> bool {
        let view = self.journal.view();
        let grant = view.leads.get(&target.group);
        grant.is_some_and(|l| l.server == target.server && self.env.now() < l.until) || self.disabled.no_fence
    }

    /// Where a read of a group whose servers confirm may go, and which position the server itself must find in its log.
    /// Inside the standing list, less the vetoed and the silent.
    pub fn spot(&self, gate: &MatchedRoute, key: &Key, own: Position, tried: &[String]) -> Order {
        let view = self.journal.view();
        let lead = self.leader(&view, &gate.group);
        let floor = match gate.promise {
            Consistency::Leader => None,
            Consistency::Any => Some(Position::default()),
            Consistency::Bound | Consistency::Session => {
                let fresh = gate.fresh.unwrap_or(self.bounds.freshness_bound());
                let since = self.env.now().saturating_sub(fresh * 5 / 6);
                let own = if self.disabled.no_token { Position::default() } else { own };
                let head = self.gauges.head(&gate.group, since).map(|(_, head)| head.max(own));
                if self.disabled.no_fresh { Some(Position::default()) } else { head }
            }
        };
        let again = |s: &String| tried.iter().filter(|t| *t == s).count();
        let at_lead = |k: ErrorKind| match &lead {
            Ok(t) if again(&t.server) < 2 => Order::Send(t.clone()),
            Ok(_) => Order::Return(ErrorKind::ServerFailed),
            Err(_) => Order::Return(k),
        };
        let Some(floor) = floor else { return at_lead(ErrorKind::NoPrimary) };
        let leader = view.leads.get(&gate.group).map(|l| l.server.clone());
        let Some(g) = view.image.as_ref().and_then(|i| i.groups.iter().find(|g| g.name == gate.group)) else {
            return Order::Return(ErrorKind::NoDatabase);
        };
        let free = |s: &&String| {
            Some(*s) != leader.as_ref()
                && again(s) == 0
                && !self.vetoed(&view, s, false)
                && !self.silent(s)
                && self.pools.limit(s) > 0
        };
        let mut rows: Vec<&String> = g.servers.iter().filter(free).collect();
        if rows.iter().any(|s| self.gauges.holds(s, floor)) {
            // Others would refuse, being behind.
            rows.retain(|s| self.gauges.holds(s, floor));
        }
        let near = |s: &&String| view.servers.get(*s).is_some_and(|x| x.area == self.area);
        let basis = Basis::Seen { place: floor };
        fn fit<'a>(rows: &[&'a String], basis: &Basis) -> Vec<(&'a String, Basis)> {
            rows.iter().map(|s| (*s, basis.clone())).collect()
        }
        let in_list = |rows: &[(&String, Basis)]| {
            let lists = self.gauges.lists.borrow();
            let list = lists.get(key);
            rows.iter().any(|(s, _)| list.is_none_or(|l| l.standing.contains(s)))
        };
        // The list says who may read; the order inside it puts the own area first while that is not crowded.
        let close: Vec<&String> = rows.iter().copied().filter(near).filter(|s| self.pools.load(s) < 0.75).collect();
        let close = fit(&close, &basis);
        let chosen = if in_list(&close) { self.choose(gate, key, &close) } else { None };
        match chosen.or_else(|| self.choose(gate, key, &fit(&rows, &basis))) {
            Some(t) => Order::Send(t),
            None if gate.fall => at_lead(ErrorKind::NoServer),
            None => Order::Return(ErrorKind::NoServer),
        }
    }

    /// Whether what a send rests on still stands; asked before the send and again before the answer.
    pub fn still(&self, target: &Target) -> bool {
        let now = self.env.now();
        match target.basis {
            Basis::Leader { line } => {
                let view = self.journal.view();
                let grant = view.leads.get(&target.group);
                let stands = grant.is_some_and(|l| l.line == line && l.server == target.server && now < l.until);
                stands || self.disabled.no_fence
            }
            Basis::Head { asked, .. } => now <= asked + self.bounds.freshness_bound(),
            Basis::Seen { .. } => true,
        }
    }

    /// Whether the answer's own signs bear out what the send rests on: a server that came back without part of its
    /// log, or no longer leads, shows it.
    pub fn borne_out(&self, target: &Target, signs: &ResponseMetadata) -> bool {
        if self.disabled.grow {
            return true;
        }
        let held = |want: Position| signs.position.is_none_or(|p| p.epoch >= want.epoch && p.index >= want.index);
        match target.basis {
            Basis::Leader { line } => {
                let leads = signs.is_primary && signs.position.is_some_and(|p| p.epoch == line);
                leads && self.gauges.counts(&target.server)
            }
            Basis::Head { head, .. } => held(head),
            Basis::Seen { place } => held(place),
        }
    }

    /// Whether a commit at this place lies on a second server of the group; looks for it where that seems soonest.
    pub fn second(&self, target: &Target, place: Position, all: bool) -> bool {
        let view = self.journal.view();
        let Some(g) = view.image.as_ref().and_then(|i| i.groups.iter().find(|g| g.name == target.group)) else {
            return false;
        };
        if self.disabled.no_second {
            return true;
        }
        // A leader whose log lost something gives the same places out twice.
        if !self.gauges.counts(&target.server) && !self.disabled.grow {
            return false;
        }
        if g.servers.len() == 1 {
            return true;
        }
        let others: Vec<&String> = g.servers.iter().filter(|s| **s != target.server).collect();
        let held = |s: &&String| {
            let x = self.gauges.sight(s);
            x.place.epoch == place.epoch && x.place.index >= place.index && self.gauges.counts(s)
        };
        if others.iter().any(held) {
            return true;
        }
        let near = others.iter().max_by_key(|s| {
            let x = self.gauges.sight(s);
            (x.fails == 0, x.place)
        });
        for s in others.iter().filter(|s| all || Some(*s) == near) {
            self.gauges.look_for(s, place);
        }
        false
    }
}
