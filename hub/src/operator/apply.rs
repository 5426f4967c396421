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
pub struct RequestedConfiguration {
    routes: Vec<operator::Route>,
    groups: Vec<operator::Group>,
    limits: Limits,
    note: String,
}

impl RequestedConfiguration {
    /// What a whole set asks for.
    pub fn from_configuration(old: &Image, set: &Configuration) -> Self {
        Self {
            routes: set.doorways.clone(),
            groups: set.groups.clone(),
            limits: set.limits.clone().unwrap_or_else(|| limits(old)),
            note: set.note.clone(),
        }
    }

    /// What a change to a few items asks for.
    pub fn from_change(old: &Image, change: &ConfigurationChange) -> Result<Self, HttpResponse> {
        let mut routes = operator_routes(old);
        for name in &change.drop {
            // Where operators number their sets, one that is not there need not be taken out.
            if change.number.is_none() && !routes.iter().any(|d| d.handle() == name) {
                return Err(error_response(ErrorKind::Invalid, &format!("drop: no doorway {name:?}"), None));
            }
            routes.retain(|d| d.handle() != name);
        }
        merge(&mut routes, &change.put, |a, b| a.handle() == b.handle());
        let mut groups = operator_groups(old);
        groups.retain(|g| !change.drop_groups.contains(&g.name));
        merge(&mut groups, &change.groups, |a, b| a.name == b.name);
        let note = if change.note.is_empty() { &old.note } else { &change.note };
        Ok(Self { routes, groups, limits: change.limits.clone().unwrap_or_else(|| limits(old)), note: note.clone() })
    }
}

/// The state with a set in force; its faults where it can't be taken.
pub fn apply(disabled: DisabledGuards, old: &Image, wanted: RequestedConfiguration) -> Result<Image, HttpResponse> {
    let mut errors = operator::check(&wanted.routes, &wanted.groups, &wanted.limits);
    let groups: Vec<wire::Group> = wanted.groups.iter().map(|group| plan_group(old, group, &mut errors)).collect();
    if !errors.is_empty() && !disabled.no_check {
        return Err(error_response(ErrorKind::Invalid, &errors.join("; "), None));
    }
    let mut new = old.clone();
    new.note = wanted.note;
    new.routes = wanted.routes.into_iter().map(to_wire_route).collect();
    new.groups = groups;
    let kept: Vec<String> = new.groups.iter().flat_map(|group| group.servers_and_leaving().cloned()).collect();
    new.logs.retain(|log| kept.contains(&log.server));
    new.limits = Some(wire::Limits { statement_ms: wanted.limits.statement_ms, idle_ms: wanted.limits.idle_ms });
    Ok(new)
}

fn to_wire_route(route: operator::Route) -> wire::Route {
    wire::Route {
        name: route.name,
        group: route.group,
        consistency: route.promise,
        fallback: route.fall,
        tag: route.tag,
        statement_ms: route.statement_ms,
        aim_ms: route.aim_ms,
        fresh_ms: route.fresh_ms,
        rank: route.rank,
        note: route.note,
    }
}

fn limits(image: &Image) -> Limits {
    image
        .limits
        .map_or_else(Limits::default, |limits| Limits { statement_ms: limits.statement_ms, idle_ms: limits.idle_ms })
}

/// Replaces each item by its newer form where it stands, or adds it.
fn merge<T: Clone>(items: &mut Vec<T>, new: &[T], same: impl Fn(&T, &T) -> bool) {
    for item in new {
        match items.iter_mut().find(|existing| same(existing, item)) {
            Some(existing) => *existing = item.clone(),
            None => items.push(item.clone()),
        }
    }
}

/// A group as it is to be: one server more or less at a time, so that quorums before and after always meet.
fn plan_group(old: &Image, group: &operator::Group, errors: &mut Vec<String>) -> wire::Group {
    let mut new = wire::Group {
        name: group.name.clone(),
        servers: group.servers.clone(),
        cap: group.cap,
        leaving_servers: Vec::new(),
        confirms: group.confirms,
        note: group.note.clone(),
    };
    if group.confirms {
        // Its servers make themselves known; a set neither adds nor takes out any.
        new.servers = old
            .groups
            .iter()
            .find(|other| other.name == group.name)
            .map(|other| other.servers.clone())
            .unwrap_or_default();
        return new;
    }
    let mut error = |text: String| errors.push(format!("group {:?}: {text}", group.name));
    for server in &group.servers {
        if let Some(other) = old.group_including_leaving(server).filter(|other| other.name != group.name) {
            error(format!("server {server:?} is of group {:?}; take it out there first", other.name));
        }
    }
    let Some(current) = old.groups.iter().find(|other| other.name == group.name) else { return new };
    new.leaving_servers.clone_from(&current.leaving_servers);
    if old.election(&group.name).is_none() {
        return new;
    }
    let removed: Vec<&String> = current.servers.iter().filter(|server| !group.servers.contains(server)).collect();
    let added: Vec<&String> = group.servers.iter().filter(|server| !current.servers.contains(server)).collect();
    if removed.len() + added.len() > 1 {
        error(format!("one server at a time; this adds {added:?} and takes out {removed:?}"));
    }
    if removed.len() + added.len() > 0
        && let Some(leaving) = current.leaving_servers.first()
    {
        error(format!("server {leaving:?} is still being taken out; what it may alone hold is not yet held elsewhere"));
    }
    // One that never counted holds nothing that has to be waited for.
    new.leaving_servers.extend(removed.into_iter().filter(|server| old.log(server).is_some()).cloned());
    new
}

/// The doorways in the operators' form.
pub fn operator_routes(image: &Image) -> Vec<operator::Route> {
    let to_operator_route = |route: &wire::Route| operator::Route {
        name: route.name.clone(),
        group: route.group.clone(),
        promise: route.consistency.clone(),
        fall: route.fallback,
        tag: route.tag.clone(),
        statement_ms: route.statement_ms,
        aim_ms: route.aim_ms,
        fresh_ms: route.fresh_ms,
        rank: route.rank,
        note: route.note.clone(),
    };
    image.routes.iter().map(to_operator_route).collect()
}

/// The groups in the operators' form.
pub fn operator_groups(image: &Image) -> Vec<operator::Group> {
    let to_operator_group = |group: &wire::Group| operator::Group {
        name: group.name.clone(),
        servers: group.servers.clone(),
        cap: group.cap,
        confirms: group.confirms,
        note: group.note.clone(),
    };
    image.groups.iter().map(to_operator_group).collect()
}
