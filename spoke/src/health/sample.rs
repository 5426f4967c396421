use std::{collections::BTreeMap, convert::Infallible, rc::Rc, time::Duration};

use base::{
    ErrorKind,
    edge::backend,
    position::Position,
    protocol::{Statement, StatementKind},
    runtime::{Component, TaskGuard},
};
use bytes::Bytes;

use super::HealthMeasurements;
use crate::{pool::Pool, run::Pools, view::Event};

/// A follower is read so many times as seldom as its leader.
const FOLLOWER_FACTOR: u32 = 4;

impl HealthMeasurements {
    /// Keeps one reading task for each server, in the standing list or not.
    pub async fn run_sampling(self: Rc<Self>, pools: Rc<Pools>) -> Result<(), Infallible> {
        let mut jobs: BTreeMap<String, (Rc<Pool>, TaskGuard)> = BTreeMap::new();
        loop {
            let seen = pools.changed.generation();
            let all = pools.all();
            jobs.retain(|s, (p, _)| all.get(s).is_some_and(|q| Rc::ptr_eq(p, q)));
            for (s, p) in all {
                jobs.entry(s).or_insert_with(|| {
                    let (me, pool) = (self.clone(), p.clone());
                    (p, self.env.spawn(async move { me.sample_server(pool).await }))
                });
            }
            pools.changed.changed_since(seen).await;
        }
    }

    /// Reads a server in the users' manner where nothing else was heard of it for a while: the leader within a part of
    /// the freshness bound, the others a few times within the drain bound.
    async fn sample_idle_server(&self, pool: Rc<Pool>) {
        let server = pool.server.clone();
        let said = Statement::internal(StatementKind::Status);
        loop {
            let (span, rare) = {
                let b = self.bounds.borrow();
                (b.call_timeout(), b.server_missed_after())
            };
            self.env.sleep(if pool.sampling_factor() > 1 { rare / 2 } else { rare / 8 }).await;
            let now = self.env.now();
            let leads = self.journal.view().primary_leases.values().any(|l| l.server == server);
            let x = self.observation(&server);
            let due = if leads { rare } else { rare * FOLLOWER_FACTOR };
            let due = due * pool.sampling_factor();
            let heard =
                x.last_response_at.is_some_and(|t| now < t + due) && x.pending_since.is_none_or(|t| now < t + rare / 4);
            if pool.limit() == 0 {
                // Nothing is asked here now; what went unanswered before tells nothing of later.
                self.clear_pending(&server);
                pool.clear_connecting();
                continue;
            }
            if heard {
                continue;
            }
            // Connections that the server ended show it only when used; the next one may be good.
            while !self.probe(&pool, &said, span).await {}
        }
    }

    /// Asks a server where it stands; false where the connection turned out to be ended.
    async fn probe(&self, pool: &Rc<Pool>, said: &Statement, span: Duration) -> bool {
        let server = &pool.server;
        self.record_sent(server);
        let start = self.env.now();
        let had = pool.idle();
        let mut slot = match pool.acquire(start + span).await {
            Ok(s) => s,
            Err(ErrorKind::Overloaded) => {
                self.record_response(server, start, None);
                return true;
            }
            Err(_) => {
                self.record_failed_read(server, self.env.now() - start < span / 4);
                return true;
            }
        };
        let asked = self.env.now();
        self.position_reads.set(self.position_reads.get() + 1);
        match slot.execute(said, None, asked + span).await {
            Ok(reply) => {
                self.record_probe(server, true);
                self.record_response(server, asked, reply.position);
                true
            }
            Err(_) if had > 0 && self.env.now() - asked < span / 4 => false,
            Err(_) => {
                self.record_failed_read(server, false);
                true
            }
        }
    }

    async fn sample_server(&self, pool: Rc<Pool>) {
        if pool.protocol.is_some() {
            return self.sample_idle_server(pool).await;
        }
        let server = pool.server.clone();
        loop {
            let step = self.bounds.borrow().sampling_interval();
            let span = self.bounds.borrow().call_timeout();
            let start = self.env.now();
            let slot = pool.acquire(start + span).await;
            let Ok(mut slot) = slot else {
                if pool.limit() > 0 {
                    self.record_failed_read(&server, self.env.now() - start < span / 4);
                }
                self.env.sleep(step / 2).await;
                continue;
            };
            loop {
                if pool.limit() == 0 {
                    slot.taint();
                    break;
                }
                let seen = self.position_wanted.generation();
                let asked = self.env.now();
                let reach = self.awaited_position(&server);
                let path = match reach {
                    Some(p) => format!("{}?reach={p}", backend::POSITION_PATH),
                    None => backend::POSITION_PATH.to_string(),
                };
                self.position_reads.set(self.position_reads.get() + 1);
                let Ok(out) = slot.call(&path, &[], Bytes::new(), asked + span).await else {
                    self.record_failed_read(&server, self.env.now() - asked < span / 4);
                    break;
                };
                let signs = backend::response_metadata(&out);
                let Some(place) = signs.position else {
                    self.record_failed_read(&server, false);
                    break;
                };
                self.record_probe(&server, true);
                self.record_position(&server, asked, place, signs.log_id);
                self.journal.append(Event::Draining { server: server.clone(), draining: signs.draining });
                self.wait_for_next_sample(&server, seen, step).await;
            }
            drop(slot);
            self.env.sleep(step / 4).await;
        }
    }

    /// Rests for a step, or until someone waits for a commit here.
    async fn wait_for_next_sample(&self, server: &str, mut seen: u64, step: Duration) {
        let end = self.env.now() + step;
        while self.awaited_position(server).is_none() {
            let left = end.saturating_sub(self.env.now());
            if left.is_zero() || self.env.timeout(left, self.position_wanted.changed_since(seen)).await.is_err() {
                return;
            }
            seen = self.position_wanted.generation();
        }
    }

    fn awaited_position(&self, server: &str) -> Option<Position> {
        let s = self.observations.borrow();
        let s = s.get(server)?;
        (s.awaited_position > s.position).then_some(s.awaited_position)
    }

    fn record_failed_read(&self, server: &str, refused: bool) {
        self.record_probe(server, false);
        let mut sights = self.observations.borrow_mut();
        let s = sights.entry(server.into()).or_default();
        s.failed_reads += 1;
        s.refused_connections = if refused { s.refused_connections + 1 } else { 0 };
        if s.failed_reads == 3 {
            self.env.log(Component::Pool, format!("{server} does not answer"));
        }
        drop(sights);
        self.position_changed.notify_waiters();
    }

    /// Asks a server's reading task to look for a commit.
    pub fn await_position(&self, server: &str, place: Position) {
        {
            let mut sights = self.observations.borrow_mut();
            let s = sights.entry(server.into()).or_default();
            if s.awaited_position >= place {
                return;
            }
            s.awaited_position = place;
        }
        self.position_wanted.notify_waiters();
    }
}
