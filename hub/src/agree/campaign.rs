use wire::{Body, Home, Image, PulseReturn, VoteReturn};

use super::{Agree, Peer, Role};
use crate::store::{Kept, Store};

impl Agree {
    /// What is due at each pulse.
    pub(super) async fn tick(&self, store: &mut Store) {
        let now = self.env.now();
        let (leading, blank, due, lost) = {
            let s = self.state.borrow();
            let leading = s.role == Role::Leading;
            let patience = self.bounds.hold() * 3 / 2;
            let heard = s.heard(&self.who.name, &self.env).unwrap_or(s.led_since).max(s.led_since);
            let due = match &s.role {
                Role::Following => now >= s.hold,
                Role::Asking { since, wait, .. } => now >= *since + *wait,
                Role::Leading => false,
            };
            let lost = leading && now > heard + patience && !self.loose.no_lease;
            (leading, s.blank, due && !s.leaving, lost)
        };
        if lost {
            // It may still be heard where it hears nobody: whoever hears it need not wait for silence.
            self.log("no majority answers");
            self.name_successor();
        } else if leading {
            self.readmit(store).await;
            self.pulse();
        } else if blank {
            self.form(store).await;
        } else if due {
            self.campaign(store, false).await;
        }
        self.bell.ring();
    }

    /// Asks to lead: first on trial, so that a cut-off hub doesn't raise terms; at once when named.
    pub(super) async fn campaign(&self, store: &mut Store, named: bool) {
        if !named {
            self.ask(true, false);
            return;
        }
        self.stand(store, true).await;
    }

    async fn stand(&self, store: &mut Store, named: bool) {
        let mut kept = self.state.borrow().kept.clone();
        kept.term += 1;
        kept.vote = self.who.name.clone();
        if self.save(store, kept).await {
            self.ask(false, named);
        }
    }

    fn ask(&self, trial: bool, named: bool) {
        let mut s = self.state.borrow_mut();
        s.nonce += 1;
        let nonce = s.nonce;
        // Chance keeps two askers from splitting the votes for ever.
        let wait = self.bounds.pulse() + self.bounds.pulse() * self.env.below(16) as u32 / 16;
        s.role = Role::Asking { trial, nonce, since: self.env.now(), wait, got: Vec::new(), named };
        let vote = s.vote(nonce, trial, named);
        for p in s.peers.values() {
            if let Some(out) = &p.out {
                out.send(Body::Vote(vote.clone()));
            }
        }
    }

    /// Counts a vote.
    pub(super) async fn on_vote_return(&self, store: &mut Store, from: &str, v: VoteReturn) {
        let (won, trial, named) = {
            let mut s = self.state.borrow_mut();
            if let Some(p) = s.peers.get_mut(from) {
                p.born = v.born;
                p.blank = v.blank;
            }
            let need = s.need();
            let counts = v.granted && s.counts(from, v.born) && s.counts(&self.who.name, s.kept.born);
            let counts = counts || (v.granted && self.loose.blank_votes);
            match &mut s.role {
                Role::Asking { trial, nonce, got, named, .. } if *nonce == v.nonce => {
                    if counts && !got.contains(&from.to_string()) {
                        got.push(from.into());
                    }
                    (got.len() + 1 >= need, *trial, *named)
                }
                _ => return,
            }
        };
        if !won {
            return;
        }
        if trial {
            self.stand(store, named).await;
        } else {
            self.begin(store).await;
        }
    }

    /// Begins to lead: the newest image is written again under the own term.
    async fn begin(&self, store: &mut Store) {
        let image = {
            let mut s = self.state.borrow_mut();
            s.role = Role::Leading;
            s.led_since = self.env.now();
            s.committed = 0;
            s.public = None;
            s.peers.values_mut().for_each(|p| {
                p.acked = None;
                p.at = (0, 0);
                p.pulses.clear();
            });
            s.kept.image.clone().unwrap_or_default()
        };
        if self.write(store, image).await.is_none() {
            self.follow("");
            return;
        }
        let term = self.state.borrow().kept.term;
        self.log(format!("leading in term {term}"));
        self.pulse();
    }

    /// Takes in what another hub has synced.
    pub(super) async fn on_pulse_return(&self, _store: &mut Store, from: &str, r: PulseReturn) {
        {
            let mut s = self.state.borrow_mut();
            let term = s.kept.term;
            let leading = s.role == Role::Leading;
            let Some(p) = s.peers.get_mut(from) else { return };
            p.born = r.born;
            p.blank = r.blank;
            if r.term > term {
                drop(s);
                self.follow("");
                return;
            }
            if !leading || r.term != term {
                return;
            }
            let sent = p.pulses.iter().find(|x| x.0 == r.nonce).map(|x| x.1);
            if let (true, Some(t)) = (r.taken, sent) {
                p.at = (r.at_term, r.at_count);
                p.acked = Some(p.acked.map_or(t, |a| a.max(t)));
            }
        }
        self.tally();
        self.bell.ring();
    }

    /// Admits a hub whose disk is new, once the others have it written down.
    async fn readmit(&self, store: &mut Store) {
        let image = {
            let s = self.state.borrow();
            if s.committed == 0 || s.committed != s.kept.at_count {
                return;
            }
            let Some(image) = &s.kept.image else { return };
            let mut image: Image = image.clone();
            let text = match self.changed(&s, &mut image) {
                Some(t) => t,
                None => return,
            };
            drop(s);
            self.log(text);
            image
        };
        if self.write(store, image).await.is_some() {
            self.pulse();
            self.tally();
        }
    }

    /// The next change of the roster, one control node at a time, so that majorities before and after always meet: a
    /// known one with a new disk is taken in again; a newcomer is taken in while there are too few, or one of them has
    /// been lost for long; one that is lost is let go of when there are more than are to be.
    fn changed(&self, s: &super::State, image: &mut Image) -> Option<String> {
        let now = self.env.now();
        let long = self.bounds.gone();
        let lost = |h: &Home| {
            let since = match s.peers.get(&h.name) {
                Some(p) if p.out.is_some() => return false,
                Some(p) => p.lost.unwrap_or(s.led_since),
                None => s.led_since,
            };
            h.name != self.who.name && now > since.max(s.led_since) + long
        };
        if image.homes.len() > self.size
            && let Some(i) = image.homes.iter().position(lost)
        {
            let old = image.homes.remove(i);
            return Some(format!("{} is lost; it is off the roster", old.name));
        }
        let new = s.peers.iter().find(|(n, p)| p.born != 0 && p.out.is_some() && !s.counts(n, p.born));
        let (name, p) = new?;
        let home = Home { name: name.clone(), born: p.born, peer: p.addr.clone() };
        if let Some(h) = image.homes.iter_mut().find(|h| h.name == *name) {
            *h = home;
            return Some(format!("{name} has a new disk; admitting it"));
        }
        let room = image.homes.len() < self.size || (image.homes.len() == self.size && image.homes.iter().any(lost));
        room.then(|| {
            image.homes.push(home);
            format!("{name} is new; it is on the roster")
        })
    }

    /// Forms the very first image, if all three say that they remember nothing and this is the first by name.
    async fn form(&self, store: &mut Store) {
        let kept = {
            let s = self.state.borrow();
            // Only those named at the start form the first image; any others there are come to it later.
            let named = |p: &Peer| p.addr.parse().is_ok_and(|a| self.who.seeds.contains(&a));
            let peers: Vec<_> = s.peers.iter().filter(|(_, p)| named(p)).collect();
            if !self.who.seeds.contains(&self.who.peer) {
                return;
            }
            let blank = peers.iter().filter(|(_, p)| p.blank && p.born != 0 && p.out.is_some()).count();
            let first = match s.kept.rescued {
                true => true,
                false => peers.iter().all(|(n, p)| self.who.name < **n && !p.rescued),
            };
            if blank != self.who.seeds.len() - 1 || !first {
                return;
            }
            let home = |(n, p): &(&String, &Peer)| Home { name: (*n).clone(), born: p.born, peer: p.addr.clone() };
            let mut homes: Vec<_> = peers.iter().map(home).collect();
            homes.push(Home { name: self.who.name.clone(), born: s.kept.born, peer: self.who.peer.to_string() });
            let limits = wire::Limits { statement_ms: 4000, idle_ms: 10000 };
            // From nothing, or from the one image that a person took from the last disk.
            let old = s.kept.image.clone().unwrap_or(Image { limits: Some(limits), ..Image::default() });
            let image = Image { homes, ..old };
            let term = s.kept.term + 1;
            Kept { term, vote: self.who.name.clone(), image: Some(image), rescued: false, ..s.kept.clone() }
        };
        self.log("all three hubs are blank; forming");
        if !self.save(store, kept).await {
            return;
        }
        self.state.borrow_mut().blank = false;
        self.begin(store).await;
    }
}
