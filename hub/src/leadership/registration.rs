//! Registration of servers in the groups whose servers confirm commits.

use std::time::Duration;

use base::{ErrorKind, runtime::Component};
use wire::{Departure, Group, GroupMembership, Image, ServerAddress};

use super::{Leadership, sampling::ServerStatus};

/// A server that reported itself and is to be added to its group.
struct Registration {
    group: String,
    server: String,
    /// The server that had the same address before, if any.
    replaces: Option<String>,
    address: ServerAddress,
}

impl Registration {
    /// The log line for the registration.
    fn text(&self) -> String {
        let Self { group, server, .. } = self;
        match &self.replaces {
            Some(replaced) => format!("{server} replaces {replaced} in {group}"),
            None => format!("{server} is registered in {group}"),
        }
    }

    /// Adds the server to its group, in place of the one that it replaces.
    fn apply(&self, image: &mut Image) {
        let Some(group) = image.groups.iter_mut().find(|group| group.name == self.group) else { return };
        if group.servers.contains(&self.server) {
            return;
        }
        group.servers.retain(|server| Some(server) != self.replaces.as_ref());
        group.servers.push(self.server.clone());
        image.server_addresses.retain(|address| address.server != self.server);
        image.server_addresses.push(self.address.clone());
    }
}

/// What is recorded of the groups' servers in one change.
struct MembershipChanges {
    registrations: Vec<Registration>,
    /// The groups whose list of servers was found complete.
    complete: Vec<GroupMembership>,
    /// The servers that said that they leave.
    departures: Vec<Departure>,
}

impl MembershipChanges {
    fn is_empty(&self) -> bool {
        self.registrations.is_empty() && self.complete.is_empty() && self.departures.is_empty()
    }

    /// The log lines for the changes.
    fn log_lines(&self) -> Vec<String> {
        let complete = self.complete.iter().map(|membership| {
            format!("the list of the {} servers of {} is complete", membership.servers, membership.group)
        });
        self.registrations.iter().map(Registration::text).chain(complete).collect()
    }

    /// The image with these changes.
    fn apply(&self, image: &Image) -> Image {
        let mut image = image.clone();
        image.departures.retain(|old| self.departures.iter().all(|new| new.server != old.server));
        image.departures.extend_from_slice(&self.departures);
        self.registrations.iter().for_each(|registration| registration.apply(&mut image));
        self.complete.iter().for_each(|membership| record_complete(&mut image, membership));
        let kept: Vec<&String> = image.groups.iter().flat_map(|group| &group.servers).collect();
        image.server_addresses.retain(|address| kept.contains(&&address.server));
        image.departures.retain(|departure| kept.contains(&&departure.server));
        image
    }
}

/// Records that a group's list of servers is complete. A list that changed meanwhile is checked again later.
fn record_complete(image: &mut Image, membership: &GroupMembership) {
    let is_same = |group: &Group| group.name == membership.group && group.servers.len() as u64 == membership.servers;
    let is_current = image.groups.iter().any(is_same);
    image.group_memberships.retain(|old| old.group != membership.group);
    if is_current {
        image.group_memberships.push(membership.clone());
    }
}

impl Leadership {
    /// Adds servers that reported themselves to their groups, all pending ones in one change. A server replaces the one
    /// that had the same address, because the log at that address is the same. A deregistered server is removed once it
    /// can't be the only one to hold an entry; a server that fell silent is never removed, so that the number of logs
    /// that an election must read does not shrink.
    pub(super) async fn register_servers(&self) {
        loop {
            self.env.sleep(self.bounds.control_heartbeat() / 2).await;
            let Some(image) = self.consensus.image() else { continue };
            if !self.consensus.leads_with_lease() {
                continue;
            }
            let open = || image.groups.iter().filter(|group| group.confirms);
            if let Some((group, removable)) = open().find_map(|group| self.removable_server(group)) {
                let text = format!("{removable} has left {group}: the remaining servers hold all that it held");
                if self.consensus.propose(move |image| remove_server(image, &group, &removable)).await.is_ok() {
                    self.log(Component::Election, text);
                    self.publish_soon();
                }
                continue;
            }
            let changes = MembershipChanges {
                registrations: open().flat_map(|group| self.pending_registrations(group)).collect(),
                complete: self.newly_complete(&image),
                departures: self.unrecorded_departures(&image),
            };
            if changes.is_empty() {
                continue;
            }
            let log_lines = changes.log_lines();
            let has_registrations = !changes.registrations.is_empty();
            if self.consensus.propose(move |image| Ok(changes.apply(image))).await.is_ok() {
                log_lines.iter().for_each(|line| self.log(Component::Election, line));
                if has_registrations {
                    self.publish_soon();
                }
                self.state_changed.notify_waiters();
            }
        }
    }

    /// The group and name of a deregistered server that can't be the only one to hold an entry: it has ended, the
    /// primary was read since, and another remaining server holds everything that the primary held then. Until it ends,
    /// a server goes on confirming commits.
    fn removable_server(&self, group: &Group) -> Option<(String, String)> {
        let records = self.servers.borrow();
        let statuses = self.server_statuses.borrow();
        let primary =
            self.group_leadership.borrow().get(&group.name).filter(|leadership| leadership.granting)?.server.clone();
        let (requested_at, primary_status) =
            statuses.get(&primary)?.last_status.filter(|(_, status)| status.is_primary)?;
        let departed = group.servers.iter().find(|server| {
            **server != primary
                && records.get(*server).is_some_and(|record| record.deregistered && record.last_report < requested_at)
                && (self.disabled.drop_deregistered
                    || statuses.get(*server).is_none_or(|status| self.has_ended(status, requested_at)))
        })?;
        let holds_everything = |server: &&String| {
            **server != primary
                && *server != departed
                && statuses
                    .get(*server)
                    .and_then(|state| state.last_status)
                    .is_some_and(|(_, status)| status.position >= primary_status.position)
        };
        group.servers.iter().find(holds_everything)?;
        Some((group.name.clone(), departed.clone()))
    }

    /// Whether a server had ended at `at`: nobody listened at its address, or it had not answered for so long that it
    /// counts as gone.
    fn has_ended(&self, status: &ServerStatus, at: Duration) -> bool {
        let last_response = status.last_response.unwrap_or_default();
        last_response < at && (status.refusals > 1 || last_response + self.bounds.server_gone_after() < at)
    }

    /// What servers reported of their end and the image does not record yet.
    fn unrecorded_departures(&self, image: &Image) -> Vec<Departure> {
        let records = self.servers.borrow();
        let departure = |server: &String| {
            let record = records.get(server).filter(|record| record.draining || record.deregistered)?;
            let departure = Departure { server: server.clone(), deregistered: record.deregistered };
            (!is_recorded(image, &departure)).then_some(departure)
        };
        let groups = image.groups.iter().filter(|group| group.confirms);
        groups.flat_map(|group| group.servers.iter().filter_map(departure)).collect()
    }

    /// Waits until what a server reported of its end is on a majority of disks, so that it outlives this leader. False
    /// if that is not so in time.
    pub(crate) async fn await_departure(&self, server: &str) -> bool {
        let departure = {
            let records = self.servers.borrow();
            let Some(record) = records.get(server).filter(|record| record.draining || record.deregistered) else {
                return true;
            };
            Departure { server: server.into(), deregistered: record.deregistered }
        };
        let recorded = self.state_changed.wait_until(|| {
            let image = self.consensus.image()?;
            let must_record = image.group_of(server).is_some_and(|group| group.confirms);
            (!must_record || is_recorded(&image, &departure)).then_some(())
        });
        self.disabled.forget_departures || self.env.timeout(self.bounds.call_timeout(), recorded).await.is_ok()
    }

    /// The servers to be added to a group, each with the one that it replaces.
    fn pending_registrations(&self, group: &Group) -> Vec<Registration> {
        let records = self.servers.borrow();
        let registration = |server: &String| {
            let record = records.get(server)?;
            let replaced =
                group.servers.iter().find(|other| records.get(*other).is_some_and(|listed| listed.addr == record.addr));
            let address = record.server_address(server);
            Some(Registration {
                group: group.name.clone(),
                server: server.clone(),
                replaces: replaced.cloned(),
                address,
            })
        };
        self.unregistered_servers(group).iter().filter_map(registration).collect()
    }
}

/// Whether the image records this departure, or a later step of it.
fn is_recorded(image: &Image, departure: &Departure) -> bool {
    image.departure(&departure.server).is_some_and(|recorded| recorded.deregistered || !departure.deregistered)
}

/// Removes a server from a group; the remaining list has to be found complete again.
fn remove_server(image: &Image, group_name: &str, server: &str) -> Result<Image, ErrorKind> {
    let mut image = image.clone();
    let group = image.groups.iter_mut().find(|group| group.name == group_name).ok_or(ErrorKind::VersionConflict)?;
    group.servers.retain(|other| other != server);
    image.server_addresses.retain(|other| other.server != server);
    image.departures.retain(|other| other.server != server);
    image
        .group_memberships
        .iter_mut()
        .filter(|membership| membership.group == group_name)
        .for_each(|membership| membership.servers = 0);
    Ok(image)
}
