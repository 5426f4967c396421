//! Carries out what operators and servers ask, at the leading hub.

use std::rc::Rc;

use base::{
    Kind,
    edge::{
        backend::Report,
        operator::{self, Change, Handover, Limits, Readback, Set},
        refuse,
    },
    http::Return,
    strict,
};
use bytes::Bytes;
use nanoserde::SerJson;
use wire::Image;

use crate::{duty::Duty, run::Tricks};

/// The largest operator body; a set may carry the operators' own form of each item beside it.
const MOST: usize = 1 << 20;

type Done = Result<Return, Return>;

fn json(code: u16, text: String) -> Return {
    Return::new(code, text).with("content-type", "application/json")
}

fn bad(e: strict::Fault) -> Return {
    refuse(Kind::Malformed, &e.to_string(), None)
}

fn read<T: nanoserde::DeJson>(body: &[u8]) -> Result<T, Return> {
    if body.len() > MOST {
        return Err(refuse(Kind::TooLarge, "", None));
    }
    strict::read(body).map_err(bad)
}

fn sequence(image: &Image) -> Return {
    json(200, format!("{{\"sequence\":{}}}", image.sequence))
}

impl Duty {
    /// Answers one outer request that reached the leading hub.
    pub async fn answer(self: Rc<Self>, method: &str, path: &str, body: Bytes) -> Return {
        let path = path.split('?').next().unwrap_or("");
        let parts: Vec<&str> = path.split('/').filter(|p| !p.is_empty()).collect();
        let out = match (method, &parts[..]) {
            ("POST", ["report"]) => self.on_report(&body),
            ("DELETE", ["report", server]) => self.on_leave(server),
            ("PUT", ["ops", "doorways"]) => self.on_set(&body).await,
            ("PATCH", ["ops", "doorways"]) => self.on_change(&body).await,
            ("GET", ["ops", "doorways"]) => self.on_readback().await,
            ("POST", ["ops", "areas", area, word @ ("empty" | "take-back")]) => {
                self.on_area(area, *word == "empty").await
            }
            ("POST", ["ops", "handover"]) => self.on_handover(&body),
            ("GET", ["ops", "members"]) => Ok(self.members()),
            ("GET", ["ops", "servers"]) => Ok(self.server_rows()),
            ("GET", ["ops", "leads"]) => Ok(self.lead_rows()),
            ("GET", ["ops", "grants"]) => Ok(self.grant_rows()),
            _ => Err(refuse(Kind::NoPath, "", None)),
        };
        out.unwrap_or_else(|e| e)
    }

    fn on_report(&self, body: &[u8]) -> Done {
        let r: Report = read(body)?;
        if r.addr.parse::<std::net::SocketAddr>().is_err() {
            return Err(refuse(Kind::Invalid, &format!("addr: {:?} is not an IP address with a port", r.addr), None));
        }
        if !self.agree.leads() {
            return Err(refuse(Kind::Unconfirmed, "", None));
        }
        if let Some(at) = self.heard_elsewhere(&r).filter(|_| r.group.is_empty()) {
            let text = format!("server {:?} answers at {at}; another is of this name", r.server);
            return Err(refuse(Kind::Invalid, &text, None));
        }
        self.report(&r);
        Ok(json(200, format!("{{\"known\":{}}}", self.known(&r.server))))
    }

    fn on_leave(&self, server: &str) -> Done {
        if !self.agree.leads() {
            return Err(refuse(Kind::Unconfirmed, "", None));
        }
        self.left(server);
        Ok(json(200, "{}".into()))
    }

    async fn change(&self, make: impl FnOnce(&Image) -> Result<Image, Return> + 'static) -> Done {
        let slot = Rc::new(std::cell::RefCell::new(None));
        let told = slot.clone();
        let out = self
            .agree
            .propose(move |image| {
                make(image).map_err(|ret| {
                    *told.borrow_mut() = Some(ret);
                    Kind::Invalid
                })
            })
            .await;
        match out {
            Ok(image) => {
                // News goes out before the operator hears of it, so that no later beat is confirmed without it.
                self.publish();
                Ok(sequence(&image))
            }
            // Only a verdict that was confirmed is told; of anything else nothing is known.
            Err(Kind::Invalid) => Err(slot.borrow_mut().take().unwrap_or_else(|| refuse(Kind::Invalid, "", None))),
            Err(kind) => Err(refuse(kind, "", None)),
        }
    }

    /// A change of doorways and groups. A leader that is to be taken out of its group hands over first.
    async fn adopt(&self, make: impl Fn(&Image) -> Result<Image, Return> + 'static) -> Done {
        if let Some(old) = self.agree.image()
            && self.agree.leads()
        {
            let new = make(&old)?;
            for g in &new.groups {
                let Some(e) = old.elect(&g.name).filter(|e| g.leavers.contains(&e.server)) else { continue };
                if !self.relieve(&g.name, &e.server).await {
                    let text = format!("server {:?} leads {:?} and nobody could take over in time", e.server, g.name);
                    return Err(refuse(Kind::Unconfirmed, &text, None));
                }
            }
        }
        self.change(make).await
    }

    async fn on_set(&self, body: &[u8]) -> Done {
        let set: Set = read(body)?;
        let t = self.tricks;
        let turn = Turn { after: set.after, number: set.number, sum: sum(body) };
        self.adopt(move |old| {
            turn.check(t, old)?;
            apply(t, old, &turn, &set.doorways, Some(&set.groups), set.limits.as_ref(), &set.note)
        })
        .await
    }

    async fn on_change(&self, body: &[u8]) -> Done {
        let c: Change = read(body)?;
        let t = self.tricks;
        let turn = Turn { after: Some(c.after), number: c.number, sum: sum(body) };
        self.adopt(move |old| {
            turn.check(t, old)?;
            let mut all = doorways(old);
            for name in &c.drop {
                // Where operators number their sets, one that is not there need not be taken out.
                if c.number.is_none() && !all.iter().any(|d| d.handle() == name) {
                    return Err(refuse(Kind::Invalid, &format!("drop: no doorway {name:?}"), None));
                }
                all.retain(|d| d.handle() != name);
            }
            merge(&mut all, &c.put, |a, b| a.handle() == b.handle());
            let mut homes = groups(old);
            homes.retain(|g| !c.drop_groups.contains(&g.name));
            merge(&mut homes, &c.groups, |a, b| a.name == b.name);
            let note = if c.note.is_empty() { &old.note } else { &c.note };
            apply(t, old, &turn, &all, Some(&homes), c.limits.as_ref(), note)
        })
        .await
    }

    async fn on_readback(&self) -> Done {
        let image = self.agree.confirm().await.map_err(|k| refuse(k, "", None))?;
        let limits = image.limits.unwrap_or_default();
        let out = Readback {
            sequence: image.sequence,
            doorways: doorways(&image),
            groups: groups(&image),
            limits: Limits { statement_ms: limits.statement_ms, idle_ms: limits.idle_ms },
            emptied: image.emptied.clone(),
            number: image.number,
            note: image.note.clone(),
        };
        Ok(json(200, out.serialize_json()))
    }

    async fn on_area(&self, area: &str, empty: bool) -> Done {
        let known = self.areas();
        let area = area.to_string();
        self.change(move |old| {
            if !known.contains(&area) && !old.emptied.contains(&area) {
                return Err(refuse(Kind::Invalid, &format!("area {area:?}: no server or node tells of it"), None));
            }
            let mut new = old.clone();
            new.emptied.retain(|a| *a != area);
            if empty {
                new.emptied.push(area.clone());
                if known.iter().all(|a| new.emptied.contains(a)) {
                    return Err(refuse(Kind::Invalid, &format!("area {area:?}: it is the last one not emptied"), None));
                }
            }
            new.sequence += 1;
            Ok(new)
        })
        .await
    }

    fn on_handover(&self, body: &[u8]) -> Done {
        let h: Handover = read(body)?;
        match self.wish(&h.server) {
            Ok(()) => Ok(json(202, "{\"wished\":true}".into())),
            Err(Kind::Invalid) => Err(refuse(Kind::Invalid, &format!("server {:?}: in no group", h.server), None)),
            Err(k) => Err(refuse(k, "", None)),
        }
    }
}

/// Against what a set or change was made, and what it was.
struct Turn {
    after: Option<u64>,
    number: Option<u64>,
    sum: u64,
}

/// How many sets that were taken are remembered, to know one that is sent again.
const TAKEN: usize = 32;

impl Turn {
    /// Refuses one that was made against another set than the newest; one that was taken already is answered so.
    fn check(&self, t: Tricks, old: &Image) -> Result<(), Return> {
        if let Some(number) = self.number
            && old.taken.contains(&wire::Taken { number, sum: self.sum })
        {
            return Err(sequence(old));
        }
        let now = if self.number.is_some() { old.number } else { old.sequence };
        if self.after.is_some_and(|n| n != now) && !t.no_compare {
            let mut ret = refuse(Kind::Conflict, &format!("the newest sequence is {now}"), None);
            ret.head.push(("x-sequence".into(), now.to_string()));
            return Err(ret);
        }
        if let Some(n) = self.number.filter(|n| *n <= old.number) {
            let text = format!("number: {n} is not above {}, the one in force", old.number);
            return Err(refuse(Kind::Invalid, &text, None));
        }
        Ok(())
    }

    /// Notes in the image that it was taken.
    fn note(&self, new: &mut Image) {
        new.sequence += 1;
        let Some(number) = self.number else { return };
        new.number = number;
        new.taken.push(wire::Taken { number, sum: self.sum });
        let over = new.taken.len().saturating_sub(TAKEN);
        new.taken.drain(..over);
    }
}

fn sum(body: &[u8]) -> u64 {
    u64::from(crc32fast::hash(body)) << 32 | body.len() as u64
}

/// Replaces each item by its newer form where it stands, or adds it.
fn merge<T: Clone>(all: &mut Vec<T>, new: &[T], same: impl Fn(&T, &T) -> bool) {
    for n in new {
        match all.iter_mut().find(|a| same(a, n)) {
            Some(a) => *a = n.clone(),
            None => all.push(n.clone()),
        }
    }
}

fn apply(
    t: Tricks,
    old: &Image,
    turn: &Turn,
    doors: &[operator::Doorway],
    homes: Option<&[operator::Group]>,
    limits: Option<&Limits>,
    note: &str,
) -> Result<Image, Return> {
    let homes = homes.map_or_else(|| groups(old), <[_]>::to_vec);
    let limits = limits.cloned().unwrap_or_else(|| {
        let l = old.limits.unwrap_or_default();
        Limits { statement_ms: l.statement_ms, idle_ms: l.idle_ms }
    });
    let mut faults = operator::check(doors, &homes, &limits);
    let homes: Vec<wire::Group> = homes.iter().map(|g| member(old, g, &mut faults)).collect();
    if !faults.is_empty() && !t.no_check {
        return Err(refuse(Kind::Invalid, &faults.join("; "), None));
    }
    let mut new = old.clone();
    turn.note(&mut new);
    new.note = note.into();
    new.doorways = doors
        .iter()
        .map(|d| wire::Doorway {
            name: d.name.clone(),
            group: d.group.clone(),
            promise: d.promise.clone(),
            fall: d.fall,
            tag: d.tag.clone(),
            statement_ms: d.statement_ms,
            aim_ms: d.aim_ms,
            fresh_ms: d.fresh_ms,
            rank: d.rank,
            note: d.note.clone(),
        })
        .collect();
    new.groups = homes;
    let kept: Vec<String> = new.groups.iter().flat_map(|g| g.all().cloned()).collect();
    new.logs.retain(|l| kept.contains(&l.server));
    new.limits = Some(wire::Limits { statement_ms: limits.statement_ms, idle_ms: limits.idle_ms });
    Ok(new)
}

/// A group as it is to be: one server more or less at a time, so that quorums before and after always meet.
fn member(old: &Image, g: &operator::Group, faults: &mut Vec<String>) -> wire::Group {
    let mut new = wire::Group {
        name: g.name.clone(),
        servers: g.servers.clone(),
        cap: g.cap,
        leavers: Vec::new(),
        confirms: g.confirms,
        note: g.note.clone(),
    };
    if g.confirms {
        // Its servers make themselves known; a set neither adds nor takes out any.
        new.servers = old.groups.iter().find(|o| o.name == g.name).map(|o| o.servers.clone()).unwrap_or_default();
        return new;
    }
    let mut fault = |text: String| faults.push(format!("group {:?}: {text}", g.name));
    for s in &g.servers {
        if let Some(o) = old.root(s).filter(|o| o.name != g.name) {
            fault(format!("server {s:?} is of group {:?}; take it out there first", o.name));
        }
    }
    let Some(was) = old.groups.iter().find(|o| o.name == g.name) else { return new };
    new.leavers.clone_from(&was.leavers);
    if old.elect(&g.name).is_none() {
        return new;
    }
    let lost: Vec<&String> = was.servers.iter().filter(|s| !g.servers.contains(s)).collect();
    let more: Vec<&String> = g.servers.iter().filter(|s| !was.servers.contains(s)).collect();
    if lost.len() + more.len() > 1 {
        fault(format!("one server at a time; this adds {more:?} and takes out {lost:?}"));
    }
    if lost.len() + more.len() > 0
        && let Some(l) = was.leavers.first()
    {
        fault(format!("server {l:?} is still being taken out; what it may alone hold is not yet held elsewhere"));
    }
    // One that never counted holds nothing that has to be waited for.
    new.leavers.extend(lost.into_iter().filter(|s| old.log(s).is_some()).cloned());
    new
}

fn doorways(image: &Image) -> Vec<operator::Doorway> {
    let row = |d: &wire::Doorway| operator::Doorway {
        name: d.name.clone(),
        group: d.group.clone(),
        promise: d.promise.clone(),
        fall: d.fall,
        tag: d.tag.clone(),
        statement_ms: d.statement_ms,
        aim_ms: d.aim_ms,
        fresh_ms: d.fresh_ms,
        rank: d.rank,
        note: d.note.clone(),
    };
    image.doorways.iter().map(row).collect()
}

fn groups(image: &Image) -> Vec<operator::Group> {
    let row = |g: &wire::Group| operator::Group {
        name: g.name.clone(),
        servers: g.servers.clone(),
        cap: g.cap,
        confirms: g.confirms,
        note: g.note.clone(),
    };
    image.groups.iter().map(row).collect()
}
