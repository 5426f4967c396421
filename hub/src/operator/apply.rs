//! Makes the new state that a set or change asks for, and checks it.

use base::{
    ErrorKind,
    edge::{
        error_response,
        operator::{self, Configuration, ConfigurationChange, Limits},
    },
    http::HttpResponse,
};
use wire::Image;

use crate::run::DisabledGuards;

/// The whole set that is to be in force.
pub struct Wanted {
    doorways: Vec<operator::Route>,
    groups: Vec<operator::Group>,
    limits: Limits,
    note: String,
}

impl Wanted {
    /// What a whole set asks for.
    pub fn from_set(old: &Image, set: &Configuration) -> Self {
        Self {
            doorways: set.doorways.clone(),
            groups: set.groups.clone(),
            limits: set.limits.clone().unwrap_or_else(|| limits(old)),
            note: set.note.clone(),
        }
    }

    /// What a change to a few items asks for.
    pub fn from_change(old: &Image, change: &ConfigurationChange) -> Result<Self, HttpResponse> {
        let mut all = doorways(old);
        for name in &change.drop {
            // Where operators number their sets, one that is not there need not be taken out.
            if change.number.is_none() && !all.iter().any(|d| d.handle() == name) {
                return Err(error_response(ErrorKind::Invalid, &format!("drop: no doorway {name:?}"), None));
            }
            all.retain(|d| d.handle() != name);
        }
        merge(&mut all, &change.put, |a, b| a.handle() == b.handle());
        let mut homes = groups(old);
        homes.retain(|g| !change.drop_groups.contains(&g.name));
        merge(&mut homes, &change.groups, |a, b| a.name == b.name);
        let note = if change.note.is_empty() { &old.note } else { &change.note };
        Ok(Self {
            doorways: all,
            groups: homes,
            limits: change.limits.clone().unwrap_or_else(|| limits(old)),
            note: note.clone(),
        })
    }
}

/// The state with a set in force; its faults where it can't be taken.
pub fn apply(disabled: DisabledGuards, old: &Image, wanted: Wanted) -> Result<Image, HttpResponse> {
    let mut faults = operator::check(&wanted.doorways, &wanted.groups, &wanted.limits);
    let groups: Vec<wire::Group> = wanted.groups.iter().map(|g| member(old, g, &mut faults)).collect();
    if !faults.is_empty() && !disabled.no_check {
        return Err(error_response(ErrorKind::Invalid, &faults.join("; "), None));
    }
    let mut new = old.clone();
    new.note = wanted.note;
    new.routes = wanted.doorways.into_iter().map(doorway).collect();
    new.groups = groups;
    let kept: Vec<String> = new.groups.iter().flat_map(|g| g.servers_and_leaving().cloned()).collect();
    new.logs.retain(|l| kept.contains(&l.server));
    new.limits = Some(wire::Limits { statement_ms: wanted.limits.statement_ms, idle_ms: wanted.limits.idle_ms });
    Ok(new)
}

fn doorway(d: operator::Route) -> wire::Route {
    wire::Route {
        name: d.name,
        group: d.group,
        consistency: d.promise,
        fallback: d.fall,
        tag: d.tag,
        statement_ms: d.statement_ms,
        aim_ms: d.aim_ms,
        fresh_ms: d.fresh_ms,
        rank: d.rank,
        note: d.note,
    }
}

fn limits(image: &Image) -> Limits {
    image.limits.map_or_else(Limits::default, |l| Limits { statement_ms: l.statement_ms, idle_ms: l.idle_ms })
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

/// A group as it is to be: one server more or less at a time, so that quorums before and after always meet.
fn member(old: &Image, g: &operator::Group, faults: &mut Vec<String>) -> wire::Group {
    let mut new = wire::Group {
        name: g.name.clone(),
        servers: g.servers.clone(),
        cap: g.cap,
        leaving_servers: Vec::new(),
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
        if let Some(o) = old.group_including_leaving(s).filter(|o| o.name != g.name) {
            fault(format!("server {s:?} is of group {:?}; take it out there first", o.name));
        }
    }
    let Some(was) = old.groups.iter().find(|o| o.name == g.name) else { return new };
    new.leaving_servers.clone_from(&was.leaving_servers);
    if old.election(&g.name).is_none() {
        return new;
    }
    let lost: Vec<&String> = was.servers.iter().filter(|s| !g.servers.contains(s)).collect();
    let more: Vec<&String> = g.servers.iter().filter(|s| !was.servers.contains(s)).collect();
    if lost.len() + more.len() > 1 {
        fault(format!("one server at a time; this adds {more:?} and takes out {lost:?}"));
    }
    if lost.len() + more.len() > 0
        && let Some(l) = was.leaving_servers.first()
    {
        fault(format!("server {l:?} is still being taken out; what it may alone hold is not yet held elsewhere"));
    }
    // One that never counted holds nothing that has to be waited for.
    new.leaving_servers.extend(lost.into_iter().filter(|s| old.log(s).is_some()).cloned());
    new
}

/// The doorways in the operators' form.
pub fn doorways(image: &Image) -> Vec<operator::Route> {
    let row = |d: &wire::Route| operator::Route {
        name: d.name.clone(),
        group: d.group.clone(),
        promise: d.consistency.clone(),
        fall: d.fallback,
        tag: d.tag.clone(),
        statement_ms: d.statement_ms,
        aim_ms: d.aim_ms,
        fresh_ms: d.fresh_ms,
        rank: d.rank,
        note: d.note.clone(),
    };
    image.routes.iter().map(row).collect()
}

/// The groups in the operators' form.
pub fn groups(image: &Image) -> Vec<operator::Group> {
    let row = |g: &wire::Group| operator::Group {
        name: g.name.clone(),
        servers: g.servers.clone(),
        cap: g.cap,
        confirms: g.confirms,
        note: g.note.clone(),
    };
    image.groups.iter().map(row).collect()
}
