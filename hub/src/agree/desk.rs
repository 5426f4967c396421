use std::rc::Rc;

use futures::{StreamExt, channel::mpsc};
use wire::{Body, Image, Pulse};

use super::{Agree, Job, Role};
use crate::store::{Kept, Store};
use base::Kind;

/// The desk's inbox.
pub type Inbox = mpsc::UnboundedReceiver<Job>;

impl Agree {
    /// The one task that changes what this hub remembers; takes frames and proposals in turn.
    pub async fn desk(self: Rc<Self>, mut inbox: Inbox, mut store: Store) {
        while let Some(job) = inbox.next().await {
            match job {
                Job::Frame { from, body, out } => match *body {
                    Body::Vote(v) => self.on_vote(&mut store, &from, v, out).await,
                    Body::VoteReturn(v) => self.on_vote_return(&mut store, &from, v).await,
                    Body::Pulse(p) => self.on_pulse(&mut store, &from, p, out).await,
                    Body::PulseReturn(p) => self.on_pulse_return(&mut store, &from, p).await,
                    _ => {}
                },
                Job::Propose { make, done } => {
                    let made = {
                        let s = self.state.borrow();
                        match &s.kept.image {
                            Some(i) if s.role == Role::Leading && s.committed > 0 && !s.leaving => make(i),
                            _ => Err(Kind::Unconfirmed),
                        }
                    };
                    match made {
                        Ok(image) => {
                            let Some(count) = self.write(&mut store, image.clone()).await else {
                                let _ = done.send(Err(Kind::NoRoom));
                                // One that can take nothing new had better not lead.
                                self.name_successor();
                                continue;
                            };
                            self.state.borrow_mut().pending.push((count, Rc::new(image), done));
                            self.pulse();
                            self.tally();
                        }
                        Err(e) => {
                            let _ = done.send(Err(e));
                        }
                    }
                }
                Job::Tick => self.tick(&mut store).await,
                Job::Leave { done } => {
                    self.state.borrow_mut().leaving = true;
                    self.name_successor();
                    let _ = done.send(());
                }
            }
        }
    }

    /// Ticks the desk at each pulse while leading, eight times as often while watching for the end of a hold.
    pub async fn ticks(self: Rc<Self>) {
        loop {
            let _ = self.inbox.unbounded_send(Job::Tick);
            let leading = self.state.borrow().role == Role::Leading;
            self.env.sleep(self.bounds.pulse() / if leading { 1 } else { 8 }).await;
        }
    }

    /// Holds to a hub for a while; a little chance keeps two from asking at once when it falls silent.
    pub(super) fn hold(&self) {
        let some = self.env.below(self.bounds.pulse().as_millis() as u64);
        let until = self.env.now() + self.bounds.hold() + std::time::Duration::from_millis(some);
        self.state.borrow_mut().hold = until;
    }

    /// Saves, then shows, what is to be remembered; false when the disk has no room for it.
    pub(super) async fn save(&self, store: &mut Store, kept: Kept) -> bool {
        let kept_so = store.keep(&kept).await;
        if kept_so {
            self.state.borrow_mut().kept = kept;
        }
        kept_so
    }

    /// Writes the next image of this term to the own disk; `None` when it has no room.
    pub(super) async fn write(&self, store: &mut Store, image: Image) -> Option<u64> {
        let mut kept = self.state.borrow().kept.clone();
        kept.at_term = kept.term;
        kept.at_count += 1;
        kept.image = Some(image);
        let count = kept.at_count;
        self.save(store, kept).await.then_some(count)
    }

    /// Sends a pulse to each other hub, with the image where it is missing.
    pub(super) fn pulse(&self) {
        let mut s = self.state.borrow_mut();
        if s.role != Role::Leading {
            return;
        }
        let now = self.env.now();
        let (term, at, kept, image) = (s.kept.term, s.at(), s.committed, s.kept.image.clone());
        s.nonce += 1;
        let nonce = s.nonce;
        let borns: Vec<_> = image.iter().flat_map(|i| i.homes.iter().map(|h| (h.name.clone(), h.born))).collect();
        for (name, p) in &mut s.peers {
            let Some(out) = &p.out else { continue };
            let born = borns.iter().find(|b| b.0 == *name).map_or(0, |b| b.1);
            let lacks = p.at != at && (born == p.born);
            p.pulses.push_back((nonce, now));
            if p.pulses.len() > 64 {
                p.pulses.pop_front();
            }
            out.send(Body::Pulse(Pulse {
                term,
                nonce,
                at_term: at.0,
                at_count: at.1,
                image: if lacks { image.clone() } else { None },
                kept,
                named: false,
                born,
                out: Vec::new(),
            }));
        }
    }

    /// Notes what now lies on a majority of disks, and tells those who wait for it.
    pub(super) fn tally(&self) {
        let mut s = self.state.borrow_mut();
        if s.role != Role::Leading || s.kept.at_term != s.kept.term {
            return;
        }
        let at = s.at();
        if s.committed < at.1 && s.majority(&self.who.name, |p| p.at == at) {
            s.committed = at.1;
            s.public = s.kept.image.clone().map(Rc::new);
            let done: Vec<_> = s.pending.extract_if(.., |p| p.0 <= at.1).collect();
            drop(s);
            self.bell.ring();
            for (_, image, d) in done {
                // Each hears of its own change, though a later one may have been kept with it.
                let _ = d.send(Ok(image));
            }
        }
    }

    /// Stops leading or asking.
    pub(super) fn follow(&self, leader: &str) {
        let mut s = self.state.borrow_mut();
        let led = s.role == Role::Leading;
        s.role = Role::Following;
        s.leader = leader.into();
        s.committed = 0;
        s.public = None;
        let lost = std::mem::take(&mut s.pending);
        drop(s);
        if led {
            self.log("no longer leading");
            self.bell.ring();
        }
        for (_, _, d) in lost {
            let _ = d.send(Err(Kind::Unknown));
        }
    }

    pub(super) fn name_successor(&self) {
        let (next, term) = {
            let s = self.state.borrow();
            if s.role != Role::Leading {
                return;
            }
            let at = s.at();
            let next = s
                .peers
                .iter()
                .find(|(n, p)| !p.blank && s.counts(n, p.born) && p.at == at && p.out.is_some())
                .and_then(|(n, p)| Some((n.clone(), p.out.clone()?)));
            (next, s.kept.term)
        };
        self.follow("");
        self.state.borrow_mut().hold = self.env.now() + self.bounds.hold() * 3;
        if let Some((name, out)) = next {
            self.log(format!("{name} is named successor"));
            let left = self.estate.borrow().as_ref().map(|e| e()).unwrap_or_default();
            out.send(Body::Pulse(Pulse { term, named: true, out: left, ..Pulse::default() }));
        }
    }
}
