use wire::{Body, Out, Pulse, PulseReturn, Vote, VoteReturn};

use super::{Agree, Role};
use crate::store::Store;

impl Agree {
    /// Answers a hub that asks to lead.
    pub(super) async fn on_vote(&self, store: &mut Store, from: &str, v: Vote, out: Option<Out>) {
        let Some(out) = out else { return };
        let (mut grant, kept, blank) = {
            let s = self.state.borrow();
            let held = (self.env.now() < s.hold && !v.named) || self.leads();
            let free =
                v.term > s.kept.term || (v.term == s.kept.term && (s.kept.vote.is_empty() || s.kept.vote == from));
            let fresh = (v.at_term, v.at_count) >= s.at();
            let known = s.kept.image.is_none() || s.counts(from, v.born);
            ((!s.blank || self.loose.blank_votes) && !held && free && fresh && known, s.kept.clone(), s.blank)
        };
        if grant && !v.trial {
            let mut next = kept.clone();
            next.term = v.term;
            next.vote = from.into();
            if v.term > kept.term {
                self.follow("");
            }
            grant = self.save(store, next).await;
            self.hold();
        }
        let s = self.state.borrow();
        out.send(Body::VoteReturn(VoteReturn {
            term: s.kept.term,
            granted: grant,
            born: s.kept.born,
            blank,
            nonce: v.nonce,
        }));
    }

    /// Takes a leading hub's pulse, and its image if newer.
    pub(super) async fn on_pulse(&self, store: &mut Store, from: &str, p: Pulse, out: Option<Out>) {
        let (term, blank) = {
            let s = self.state.borrow();
            (s.kept.term, s.blank)
        };
        let mut taken = false;
        if p.named && p.term == term && !blank {
            self.log(format!("named successor by {from}"));
            *self.heir.borrow_mut() = Some((p.term, self.env.now(), p.out));
            self.campaign(store, true).await;
            return;
        }
        if p.term >= term {
            let leading = self.state.borrow().role == Role::Leading;
            if p.term > term || !leading {
                if p.term > term || self.state.borrow().role != Role::Following || self.state.borrow().leader != from {
                    self.follow(from);
                }
                taken = self.take(store, &p).await;
                self.hold();
            }
        }
        let s = self.state.borrow();
        if let Some(out) = out {
            out.send(Body::PulseReturn(PulseReturn {
                term: s.kept.term,
                nonce: p.nonce,
                at_term: s.kept.at_term,
                at_count: s.kept.at_count,
                born: s.kept.born,
                blank: s.blank,
                taken,
            }));
        }
    }

    async fn take(&self, store: &mut Store, p: &Pulse) -> bool {
        let (mut kept, blank) = {
            let s = self.state.borrow();
            (s.kept.clone(), s.blank)
        };
        let newer = (p.at_term, p.at_count) > (kept.at_term, kept.at_count);
        let image = p.image.as_ref().filter(|_| newer);
        let listed = image.is_some_and(|i| i.homes.iter().any(|h| h.name == self.who.name && h.born == kept.born));
        if blank && !listed && !self.loose.blank_votes {
            // A disk that remembers nothing takes nothing on before the others know it by its incarnation.
            return false;
        }
        let moved = p.term > kept.term;
        if moved {
            kept.term = p.term;
            kept.vote.clear();
        }
        if let Some(i) = image {
            kept.at_term = p.at_term;
            kept.at_count = p.at_count;
            kept.image = Some(i.clone());
        }
        if (moved || image.is_some()) && !self.save(store, kept).await {
            return false;
        }
        if blank {
            self.state.borrow_mut().blank = false;
            self.log("admitted; this disk's memory counts from here");
        }
        true
    }
}
