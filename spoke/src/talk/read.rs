use std::{cell::RefCell, rc::Rc, time::Duration};

use base::{
    Kind,
    talk::{Fail, Repeatable, Reply, Told, Verdict},
    words::Position,
};
use futures::{FutureExt, StreamExt, future::LocalBoxFuture, select_biased, stream::FuturesUnordered};

use super::{
    seat::{Stock, told},
    send::{Guise, Miss},
};
use crate::{
    decide::{Basis, Gate, Order, Target},
    gauge::Key,
    work::{Works, bump},
};

/// How often one read is sent at most.
const SENDS: usize = 4;

type Ended = (String, Result<Reply, Miss>);

/// What every send of one read shares.
struct Errand {
    gate: Gate,
    key: Key,
    statement: Repeatable,
    guise: Guise,
    due: Duration,
}

impl Works {
    /// A single read. It may be sent to a second server when the first one's answer is late: nothing is changed by it.
    pub(super) async fn read_talk(self: &Rc<Self>, stock: &Rc<RefCell<Stock>>, statement: Repeatable) -> Told {
        bump(&self.tally.reads);
        let (name, own) = {
            let s = stock.borrow();
            (s.name.clone(), s.own)
        };
        let no = |kind: Kind| told(Err(Fail::no(kind)), None);
        let (gate, key, due, until) = match self.entry(&name).await {
            Ok(e) => e,
            Err(k) => return no(k),
        };
        let hedge = gate.aim.unwrap_or_else(|| self.spans(&gate).0) / 2;
        let guise = Guise::of(&stock.borrow(), statement.said());
        let errand = Rc::new(Errand { gate, key, statement, guise, due });
        let mut tried: Vec<String> = Vec::new();
        let mut sends: FuturesUnordered<LocalBoxFuture<'static, Ended>> = FuturesUnordered::new();
        let mut last = Kind::NoServer;
        loop {
            let now = self.env.now();
            if now >= errand.due {
                break;
            }
            if sends.is_empty() {
                match self.next_send(&errand, own, &tried) {
                    Ok(t) if tried.len() < SENDS => {
                        tried.push(t.server.clone());
                        sends.push(self.clone().send_read(errand.clone(), t).boxed_local());
                    }
                    other => {
                        if let Err(k) = other {
                            last = k;
                        }
                        if now >= until || tried.len() >= SENDS {
                            break;
                        }
                        tried.clear();
                        self.pause().await;
                        continue;
                    }
                }
            }
            let late = self.env.sleep(hedge).fuse();
            let over = self.env.sleep(errand.due - now).fuse();
            futures::pin_mut!(late, over);
            select_biased! {
                ended = sends.next() => {
                    let Some((_, out)) = ended else { continue };
                    match out {
                        Ok(reply) => {
                            self.let_end(sends);
                            return answer(reply);
                        }
                        Err(Miss::Unrun(k)) => {
                            last = k;
                            if k == Kind::Full {
                                self.pause().await;
                            }
                        }
                        Err(Miss::Failed(k)) => last = k,
                        Err(Miss::Unsure) => last = Kind::Failed,
                    }
                }
                _ = late => {
                    if tried.len() < 2
                        && let Ok(t) = self.next_send(&errand, own, &tried)
                    {
                        bump(&self.tally.retried);
                        tried.push(t.server.clone());
                        sends.push(self.clone().send_read(errand.clone(), t).boxed_local());
                    } else if let Some((_, Ok(reply))) = self.env.within(errand.due - now, sends.next()).await.ok().flatten() {
                        self.let_end(sends);
                        return answer(reply);
                    }
                }
                _ = over => {}
            }
        }
        self.let_end(sends);
        bump(&self.tally.refused);
        let ran = !tried.is_empty() && matches!(last, Kind::Failed | Kind::Due);
        told(Err(if ran { Fail::unsure(Kind::Failed) } else { Fail::no(last) }), None)
    }

    /// Lets sends that are still out come to their end, so that no connection is cut while its server is at work.
    fn let_end(&self, mut sends: FuturesUnordered<LocalBoxFuture<'static, Ended>>) {
        if !sends.is_empty() {
            self.env.spawn(async move { while sends.next().await.is_some() {} }).detach();
        }
    }

    fn next_send(&self, errand: &Errand, own: Position, tried: &[String]) -> Result<Target, Kind> {
        match self.decider.spot(&errand.gate, &errand.key, own, tried) {
            Order::Send(t) => Ok(t),
            Order::Return(k) => Err(k),
        }
    }

    async fn send_read(self: Rc<Self>, errand: Rc<Errand>, target: Target) -> Ended {
        let server = target.server.clone();
        let out = self.carry_read(&errand, &target).await;
        (server, out)
    }

    async fn carry_read(&self, errand: &Errand, target: &Target) -> Result<Reply, Miss> {
        let pool = self.pools.get(&target.server).ok_or(Miss::Unrun(Kind::NoServer))?;
        let mut slot = pool.get(errand.due).await.map_err(Miss::Unrun)?;
        // Time was spent in the inbox: what the send rests on is looked at anew.
        let lead = matches!(target.basis, Basis::Leader { .. });
        if !self.decider.open(target) || (lead && !self.decider.leads(target)) {
            return Err(Miss::Unrun(Kind::NoLeader));
        }
        let after = floor(target);
        self.send_repeatable(&mut slot, &errand.key, &errand.statement, &errand.guise, after, errand.due).await
    }
}

/// The position that the server must find in its log.
pub fn floor(target: &Target) -> Option<Position> {
    match target.basis {
        Basis::Seen { place } if place != Position::default() => Some(place),
        _ => None,
    }
}

fn answer(reply: Reply) -> Told {
    let Verdict::Done(mark) = reply.verdict else { return told(Err(Fail::unsure(Kind::Failed)), None) };
    Told { rows: reply.rows, ..told(Ok(mark), reply.place) }
}
