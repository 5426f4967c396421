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

/// The largest operator body.
const MOST: usize = 256 << 10;

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
        if let Some(at) = self.heard_elsewhere(&r) {
            let text = format!("server {:?} answers at {at}; another is of this name", r.server);
            return Err(refuse(Kind::Invalid, &text, None));
        }
        self.report(&r);
        Ok(json(200, format!("{{\"known\":{}}}", self.known(&r.server))))
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
            Err(kind) => Err(slot.borrow_mut().take().unwrap_or_else(|| refuse(kind, "", None))),
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
        self.adopt(move |old| apply(t, old, set.after, &set.doorways, Some(&set.groups), set.limits.as_ref())).await
    }

    async fn on_change(&self, body: &[u8]) -> Done {
        let c: Change = read(body)?;
        let t = self.tricks;
        self.adopt(move |old| {
            after(t, old, Some(c.after))?;
            let mut all = doorways(old);
            for name in &c.drop {
                if !all.iter().any(|d| d.name == *name) {
                    return Err(refuse(Kind::Invalid, &format!("drop: no doorway {name:?}"), None));
                }
                all.retain(|d| d.name != *name);
            }
            for d in &c.put {
                all.retain(|x| x.name != d.name);
            }
            all.extend(c.put.iter().cloned());
            let mut homes = groups(old);
            for g in &c.groups {
                homes.retain(|x| x.name != g.name);
                homes.push(g.clone());
            }
            apply(t, old, Some(c.after), &all, Some(&homes), c.limits.as_ref())
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

fn after(t: Tricks, old: &Image, want: Option<u64>) -> Result<(), Return> {
    match want {
        Some(n) if n != old.sequence && !t.no_compare => {
            let mut ret = refuse(Kind::Conflict, &format!("the newest sequence is {}", old.sequence), None);
            ret.head.push(("x-sequence".into(), old.sequence.to_string()));
            Err(ret)
        }
        _ => Ok(()),
    }
}

fn apply(
    t: Tricks,
    old: &Image,
    want: Option<u64>,
    doors: &[operator::Doorway],
    homes: Option<&[operator::Group]>,
    limits: Option<&Limits>,
) -> Result<Image, Return> {
    after(t, old, want)?;
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
    new.sequence += 1;
    new.doorways = doors
        .iter()
        .map(|d| wire::Doorway {
            name: d.name.clone(),
            group: d.group.clone(),
            promise: d.promise.clone(),
            fall: d.fall,
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
    let mut new = wire::Group { name: g.name.clone(), servers: g.servers.clone(), cap: g.cap, leavers: Vec::new() };
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
    };
    image.doorways.iter().map(row).collect()
}

fn groups(image: &Image) -> Vec<operator::Group> {
    let row = |g: &wire::Group| operator::Group { name: g.name.clone(), servers: g.servers.clone(), cap: g.cap };
    image.groups.iter().map(row).collect()
}
