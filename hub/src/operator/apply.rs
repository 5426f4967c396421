//! Builds the state that a new configuration or a change of it requests, and checks it.

use std::collections::{HashMap, HashSet};

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

/// The complete configuration that is requested.
pub struct RequestedConfiguration {
    routes: Vec<operator::Route>,
    groups: Vec<operator::Group>,
    limits: Limits,
    note: String,
}

impl RequestedConfiguration {
    /// The result of replacing the whole configuration; limits that it doesn't name stay as they are.
    pub fn from_configuration(old: &Image, configuration: &Configuration) -> Self {
        Self {
            routes: configuration.doorways.clone(),
            groups: configuration.groups.clone(),
            limits: configuration.limits.clone().unwrap_or_else(|| limits(old)),
            note: configuration.note.clone(),
        }
    }

    /// The result of changing some items of the configuration. Fails if the change drops a route that doesn't exist.
    pub fn from_change(old: &Image, change: &ConfigurationChange) -> Result<Self, HttpResponse> {
        let mut routes = operator_routes(old);
        let dropped: HashSet<&str> = change.drop.iter().map(String::as_str).collect();
        // Operators who number their configurations may drop a route that doesn't exist.
        if change.number.is_none() {
            let mut remaining: HashSet<&str> = routes.iter().map(|route| route.key()).collect();
            if let Some(unknown) = change.drop.iter().find(|name| !remaining.remove(name.as_str())) {
                return Err(error_response(ErrorKind::Invalid, &format!("drop: no doorway {unknown:?}"), None));
            }
        }
        routes.retain(|route| !dropped.contains(route.key()));
        merge(&mut routes, &change.put, operator::Route::key);
        let mut groups = operator_groups(old);
        groups.retain(|group| !change.drop_groups.contains(&group.name));
        merge(&mut groups, &change.groups, |group| &group.name);
        let note = if change.note.is_empty() { &old.note } else { &change.note };
        Ok(Self { routes, groups, limits: change.limits.clone().unwrap_or_else(|| limits(old)), note: note.clone() })
    }

    /// The number of routes.
    pub fn route_count(&self) -> usize {
        self.routes.len()
    }
}

/// The state with the requested configuration in force. Fails with an `Invalid` response that lists all faults.
pub fn apply(disabled: DisabledGuards, old: &Image, requested: RequestedConfiguration) -> Result<Image, HttpResponse> {
    let mut errors = operator::configuration_faults(&requested.routes, &requested.groups, &requested.limits);
    let groups: Vec<wire::Group> = requested.groups.iter().map(|group| plan_group(old, group, &mut errors)).collect();
    if !errors.is_empty() && !disabled.no_configuration_check {
        return Err(error_response(ErrorKind::Invalid, &errors.join("; "), None));
    }
    let mut new = old.clone();
    new.note = requested.note;
    new.routes = requested.routes.into_iter().map(to_wire_route).collect();
    new.groups = groups;
    let kept: Vec<String> = new.groups.iter().flat_map(|group| group.servers_and_leaving().cloned()).collect();
    new.logs.retain(|log| kept.contains(&log.server));
    new.limits = Some(wire::Limits { statement_ms: requested.limits.statement_ms, idle_ms: requested.limits.idle_ms });
    Ok(new)
}

/// Converts a route to the form of the image.
fn to_wire_route(route: operator::Route) -> wire::Route {
    wire::Route {
        name: route.name,
        group: route.group,
        consistency: route.promise,
        fallback: route.fall,
        tag: route.tag,
        statement_ms: route.statement_ms,
        target_latency_ms: route.aim_ms,
        max_staleness_ms: route.fresh_ms,
        rank: route.rank,
        note: route.note,
    }
}

/// The limits in force.
fn limits(image: &Image) -> Limits {
    image
        .limits
        .map_or_else(Limits::default, |limits| Limits { statement_ms: limits.statement_ms, idle_ms: limits.idle_ms })
}

/// Replaces each item in place by its new form, or appends it. Items are the same if their keys are.
fn merge<T: Clone>(items: &mut Vec<T>, new: &[T], key: impl Fn(&T) -> &str) {
    let mut positions: HashMap<String, usize> =
        items.iter().enumerate().rev().map(|(position, item)| (key(item).to_string(), position)).collect();
    for item in new {
        match positions.get(key(item)) {
            Some(position) => items[*position] = item.clone(),
            None => {
                positions.insert(key(item).into(), items.len());
                items.push(item.clone());
            }
        }
    }
}

/// The group with the requested servers. At most one server is added or removed at a time, so that a quorum before the
/// change always overlaps with a quorum after it. Faults are added to `errors`.
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
        // The servers register themselves; a configuration neither adds nor removes any.
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
    // A server whose log never counted holds nothing that the others have to catch up with.
    new.leaving_servers.extend(removed.into_iter().filter(|server| old.log(server).is_some()).cloned());
    new
}

/// The routes in the operators' form.
pub fn operator_routes(image: &Image) -> Vec<operator::Route> {
    let to_operator_route = |route: &wire::Route| operator::Route {
        name: route.name.clone(),
        group: route.group.clone(),
        promise: route.consistency.clone(),
        fall: route.fallback,
        tag: route.tag.clone(),
        statement_ms: route.statement_ms,
        aim_ms: route.target_latency_ms,
        fresh_ms: route.max_staleness_ms,
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
