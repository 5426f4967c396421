use base::{Kind, seam::Part};
use wire::{Group, Image, Spot};

use super::Duty;

impl Duty {
    /// Writes servers that made themselves known into the groups that are open to them. A server is written in the
    /// place of one that had its address or has left. One that left is taken out when it can hold nothing alone; one that
    /// fell silent never, so that the number of logs an election must read does not shrink.
    pub(super) async fn muster(&self) {
        loop {
            self.env.sleep(self.bounds.pulse() / 2).await;
            let Some(image) = self.agree.image() else { continue };
            if !self.agree.leads() {
                continue;
            }
            let open = || image.groups.iter().filter(|g| g.confirms);
            if let Some((group, old)) = open().find_map(|g| self.dismissed(g)) {
                let text = format!("{old} has left {group}: what it held is held by those who stay");
                if self.agree.propose(move |image| dismiss(image, &group, &old)).await.is_ok() {
                    self.log(Part::Elect, text);
                    self.publish();
                }
                continue;
            }
            let next = open().find_map(|g| self.recruit(g));
            let Some((group, new, old)) = next else { continue };
            let spot = self.servers.borrow().get(&new).map(|t| t.spot(&new));
            let text = match &old {
                Some(o) => format!("{new} is in the place of {o} in {group}"),
                None => format!("{new} is of {group}"),
            };
            let out = self.agree.propose(move |image| enrol(image, &group, &new, old.as_deref(), spot)).await;
            if out.is_ok() {
                self.log(Part::Elect, text);
                self.publish();
            }
        }
    }

    /// A server that has left and can hold nothing alone any more: the leader was read since, and another who stays holds
    /// all that it held then.
    fn dismissed(&self, g: &Group) -> Option<(String, String)> {
        let told = self.servers.borrow();
        let talks = self.talks.borrow();
        let lead = self.standings.borrow().get(&g.name).filter(|s| s.granting)?.server.clone();
        let (asked, head) = talks.get(&lead)?.row.filter(|(_, r)| r.leads)?;
        let gone = g.servers.iter().find(|s| **s != lead && told.get(*s).is_some_and(|t| t.left && t.heard < asked))?;
        let holds = |s: &&String| {
            **s != lead && *s != gone && talks.get(*s).and_then(|t| t.row).is_some_and(|(_, r)| r.place >= head.place)
        };
        g.servers.iter().find(holds)?;
        Some((g.name.clone(), gone.clone()))
    }

    /// A server to be written in, and the one whose place it takes.
    fn recruit(&self, g: &Group) -> Option<(String, String, Option<String>)> {
        let told = self.servers.borrow();
        let new = |n: &String| !g.servers.contains(n);
        let (name, new) = told.iter().find(|(n, t)| t.group == g.name && !t.gone && !t.left && new(n))?;
        let same = g.servers.iter().find(|s| told.get(*s).is_some_and(|t| t.addr == new.addr));
        let left = || g.servers.iter().find(|s| told.get(*s).is_some_and(|t| t.left));
        Some((g.name.clone(), name.clone(), same.or_else(left).cloned()))
    }
}

fn dismiss(image: &Image, group: &str, old: &str) -> Result<Image, Kind> {
    let mut image = image.clone();
    let g = image.groups.iter_mut().find(|g| g.name == group).ok_or(Kind::Conflict)?;
    g.servers.retain(|s| s != old);
    image.spots.retain(|s| s.server != old);
    Ok(image)
}

fn enrol(image: &Image, group: &str, new: &str, old: Option<&str>, spot: Option<Spot>) -> Result<Image, Kind> {
    let mut image = image.clone();
    let g = image.groups.iter_mut().find(|g| g.name == group).ok_or(Kind::Conflict)?;
    if g.servers.iter().any(|s| s == new) {
        return Err(Kind::Conflict);
    }
    g.servers.retain(|s| Some(s.as_str()) != old);
    g.servers.push(new.into());
    let kept: Vec<String> = image.groups.iter().flat_map(|g| g.servers.clone()).collect();
    image.spots.retain(|s| kept.contains(&s.server) && s.server != new);
    image.spots.extend(spot);
    Ok(image)
}
