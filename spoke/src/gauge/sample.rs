use std::{collections::BTreeMap, convert::Infallible, rc::Rc, time::Duration};

use base::{
    ErrorKind,
    edge::backend,
    position::Position,
    protocol::{Statement, StatementKind},
    runtime::{Component, TaskGuard},
};
use bytes::Bytes;

use super::Gauges;
use crate::{pool::Pool, run::Pools, view::Event};

/// A follower is read so many times as seldom as its leader.
const FOLLOWER_FACTOR: u32 = 4;

impl Gauges {
    /// Keeps one reading task for each server, in the standing list or not.
    pub async fn samples(self: Rc<Self>, pools: Rc<Pools>) -> Result<(), Infallible> {
        let mut jobs: BTreeMap<String, (Rc<Pool>, TaskGuard)> = BTreeMap::new();
        loop {
            let seen = pools.bell.generation();
            let all = pools.all();
            jobs.retain(|s, (p, _)| all.get(s).is_some_and(|q| Rc::ptr_eq(p, q)));
            for (s, p) in all {
                jobs.entry(s).or_insert_with(|| {
                    let (me, pool) = (self.clone(), p.clone());
                    (p, self.env.spawn(async move { me.sample(pool).await }))
                });
            }
            pools.bell.changed_since(seen).await;
        }
    }

    /// Reads a server in the users' manner where nothing else was heard of it for a while: the leader within a part of
    /// the freshness bound, the others a few times within the drain bound.
    async fn listen(&self, pool: Rc<Pool>) {
        let server = pool.server.clone();
        let said = Statement::internal(StatementKind::Status);
        loop {
            let (span, rare) = {
                let b = self.bounds.borrow();
                (b.call_timeout(), b.server_missed_after())
            };
            self.env.sleep(if pool.reading_factor() > 1 { rare / 2 } else { rare / 8 }).await;
            let now = self.env.now();
            let leads = self.journal.view().leads.values().any(|l| l.server == server);
            let x = self.sight(&server);
            let due = if leads { rare } else { rare * FOLLOWER_FACTOR };
            let due = due * pool.reading_factor();
            let heard = x.at.is_some_and(|t| now < t + due) && x.open.is_none_or(|t| now < t + rare / 4);
            if pool.limit() == 0 {
                // Nothing is asked here now; what went unanswered before tells nothing of later.
                self.unasked(&server);
                pool.rest();
                continue;
            }
            if heard {
                continue;
            }
            // Connections that the server ended show it only when used; the next one may be good.
            while !self.ask(&pool, &said, span).await {}
        }
    }

    /// Asks a server where it stands; false where the connection turned out to be ended.
    async fn ask(&self, pool: &Rc<Pool>, said: &Statement, span: Duration) -> bool {
        let server = &pool.server;
        self.sent(server);
        let start = self.env.now();
        let had = pool.idle();
        let mut slot = match pool.get(start + span).await {
            Ok(s) => s,
            Err(ErrorKind::Overloaded) => {
                self.answered(server, start, None);
                return true;
            }
            Err(_) => {
                self.missed(server, self.env.now() - start < span / 4);
                return true;
            }
        };
        let asked = self.env.now();
        self.reads.set(self.reads.get() + 1);
        match slot.say(said, None, asked + span).await {
            Ok(reply) => {
                self.record_probe(server, true);
                self.answered(server, asked, reply.position);
                true
            }
            Err(_) if had > 0 && self.env.now() - asked < span / 4 => false,
            Err(_) => {
                self.missed(server, false);
                true
            }
        }
    }

    async fn sample(&self, pool: Rc<Pool>) {
        if pool.speech.is_some() {
            return self.listen(pool).await;
        }
        let server = pool.server.clone();
        loop {
            let step = self.bounds.borrow().sampling_interval();
            let span = self.bounds.borrow().call_timeout();
            let start = self.env.now();
            let slot = pool.get(start + span).await;
            let Ok(mut slot) = slot else {
                if pool.limit() > 0 {
                    self.missed(&server, self.env.now() - start < span / 4);
                }
                self.env.sleep(step / 2).await;
                continue;
            };
            loop {
                if pool.limit() == 0 {
                    slot.spoil();
                    break;
                }
                let seen = self.wanted.generation();
                let asked = self.env.now();
                let reach = self.wants(&server);
                let path = match reach {
                    Some(p) => format!("{}?reach={p}", backend::POSITION_PATH),
                    None => backend::POSITION_PATH.to_string(),
                };
                self.reads.set(self.reads.get() + 1);
                let Ok(out) = slot.call(&path, &[], Bytes::new(), asked + span).await else {
                    self.missed(&server, self.env.now() - asked < span / 4);
                    break;
                };
                let signs = backend::response_metadata(&out);
                let Some(place) = signs.position else {
                    self.missed(&server, false);
                    break;
                };
                self.record_probe(&server, true);
                self.placed(&server, asked, place, signs.log_id);
                self.journal.append(Event::Draining { server: server.clone(), draining: signs.draining });
                self.rest(&server, seen, step).await;
            }
            drop(slot);
            self.env.sleep(step / 4).await;
        }
    }

    /// Rests for a step, or until someone waits for a commit here.
    async fn rest(&self, server: &str, mut seen: u64, step: Duration) {
        let end = self.env.now() + step;
        while self.wants(server).is_none() {
            let left = end.saturating_sub(self.env.now());
            if left.is_zero() || self.env.timeout(left, self.wanted.changed_since(seen)).await.is_err() {
                return;
            }
            seen = self.wanted.generation();
        }
    }

    fn wants(&self, server: &str) -> Option<Position> {
        let s = self.sights.borrow();
        let s = s.get(server)?;
        (s.reach > s.place).then_some(s.reach)
    }

    fn missed(&self, server: &str, refused: bool) {
        self.record_probe(server, false);
        let mut sights = self.sights.borrow_mut();
        let s = sights.entry(server.into()).or_default();
        s.fails += 1;
        s.refused = if refused { s.refused + 1 } else { 0 };
        if s.fails == 3 {
            self.env.log(Component::Pool, format!("{server} does not answer"));
        }
        drop(sights);
        self.moved.notify_waiters();
    }

    /// Asks a server's reading task to look for a commit.
    pub fn look_for(&self, server: &str, place: Position) {
        {
            let mut sights = self.sights.borrow_mut();
            let s = sights.entry(server.into()).or_default();
            if s.reach >= place {
                return;
            }
            s.reach = place;
        }
        self.wanted.notify_waiters();
    }
}
