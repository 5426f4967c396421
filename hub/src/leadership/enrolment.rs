use base::{ErrorKind, runtime::Component};
use wire::{Group, GroupMembership, Image, ServerAddress};

use super::Leadership;

/// A server that made itself known and is to be written into its group.
struct Recruit {
    group: String,
    server: String,
    /// Whose address it has.
    replaces: Option<String>,
    spot: ServerAddress,
}

impl Recruit {
    fn text(&self) -> String {
        let Self { group, server, .. } = self;
        match &self.replaces {
            Some(old) => format!("{server} is in the place of {old} in {group}"),
            None => format!("{server} is of {group}"),
        }
    }
}

impl Leadership {
    /// Writes servers that made themselves known into the groups that are open to them, all that are known at a time in
    /// one change. A server is written in the place of one that had its address, as that one's log is at it. One that left
    /// is taken out when it can hold nothing alone; one that fell silent never, so that the number of logs an election
    /// must read does not shrink.
    pub(super) async fn enrol_servers(&self) {
        loop {
            self.env.sleep(self.bounds.control_heartbeat() / 2).await;
            let Some(image) = self.consensus.image() else { continue };
            if !self.consensus.leads() {
                continue;
            }
            let open = || image.groups.iter().filter(|g| g.confirms);
            if let Some((group, old)) = open().find_map(|g| self.dismissed(g)) {
                let text = format!("{old} has left {group}: what it held is held by those who stay");
                if self.consensus.propose(move |image| dismiss(image, &group, &old)).await.is_ok() {
                    self.log(Component::Elect, text);
                    self.publish_soon();
                }
                continue;
            }
            let recruits: Vec<Recruit> = open().flat_map(|g| self.recruits(g)).collect();
            let complete = self.found_complete(&image);
            if recruits.is_empty() && complete.is_empty() {
                continue;
            }
            let mut lines: Vec<String> = recruits.iter().map(Recruit::text).collect();
            lines
                .extend(complete.iter().map(|m| format!("the {} servers of {} are all there are", m.servers, m.group)));
            let moved = !recruits.is_empty();
            if self.consensus.propose(move |image| enrol(image, &recruits, &complete)).await.is_ok() {
                lines.iter().for_each(|l| self.log(Component::Elect, l));
                if moved {
                    self.publish_soon();
                }
            }
        }
    }

    /// A server that has left and can hold nothing alone any more: the leader was read since, and another who stays holds
    /// all that it held then.
    fn dismissed(&self, g: &Group) -> Option<(String, String)> {
        let told = self.servers.borrow();
        let talks = self.talks.borrow();
        let lead = self.standings.borrow().get(&g.name).filter(|s| s.granting)?.server.clone();
        let (asked, head) = talks.get(&lead)?.row.filter(|(_, r)| r.is_primary)?;
        let gone = g.servers.iter().find(|s| **s != lead && told.get(*s).is_some_and(|t| t.left && t.heard < asked))?;
        let holds = |s: &&String| {
            **s != lead
                && *s != gone
                && talks.get(*s).and_then(|t| t.row).is_some_and(|(_, r)| r.position >= head.position)
        };
        g.servers.iter().find(holds)?;
        Some((g.name.clone(), gone.clone()))
    }

    /// The servers to be written into a group, each with the one whose address it has.
    fn recruits(&self, g: &Group) -> Vec<Recruit> {
        let told = self.servers.borrow();
        let row = |server: &String| {
            let new = told.get(server)?;
            let same = g.servers.iter().find(|s| told.get(*s).is_some_and(|t| t.addr == new.addr));
            let spot = new.spot(server);
            Some(Recruit { group: g.name.clone(), server: server.clone(), replaces: same.cloned(), spot })
        };
        self.unlisted(g).iter().filter_map(row).collect()
    }
}

/// Takes a server out; whether the list that is left is complete has to be found anew.
fn dismiss(image: &Image, group: &str, old: &str) -> Result<Image, ErrorKind> {
    let mut image = image.clone();
    let g = image.groups.iter_mut().find(|g| g.name == group).ok_or(ErrorKind::VersionConflict)?;
    g.servers.retain(|s| s != old);
    image.server_addresses.retain(|s| s.server != old);
    image.group_memberships.iter_mut().filter(|m| m.group == group).for_each(|m| m.servers = 0);
    Ok(image)
}

fn enrol(image: &Image, recruits: &[Recruit], complete: &[GroupMembership]) -> Result<Image, ErrorKind> {
    let mut image = image.clone();
    for r in recruits {
        let Some(g) = image.groups.iter_mut().find(|g| g.name == r.group) else { continue };
        if g.servers.contains(&r.server) {
            continue;
        }
        g.servers.retain(|s| Some(s) != r.replaces.as_ref());
        g.servers.push(r.server.clone());
        image.server_addresses.retain(|s| s.server != r.server);
        image.server_addresses.push(r.spot.clone());
    }
    for m in complete {
        // A list that changed meanwhile is looked at again.
        let same = image.groups.iter().any(|g| g.name == m.group && g.servers.len() as u64 == m.servers);
        image.group_memberships.retain(|old| old.group != m.group);
        if same {
            image.group_memberships.push(m.clone());
        }
    }
    let kept: Vec<&String> = image.groups.iter().flat_map(|g| &g.servers).collect();
    image.server_addresses.retain(|s| kept.contains(&&s.server));
    Ok(image)
}
