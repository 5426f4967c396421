//! Position reads: one sampling task per server.

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

/// The sampling interval of a replica, in multiples of the primary's.
const REPLICA_INTERVAL_FACTOR: u32 = 4;

impl HealthMeasurements {
    /// Keeps one sampling task running for each server, whether eligible or not.
    pub async fn run_sampling(self: Rc<Self>, pools: Rc<Pools>) -> Result<(), Infallible> {
        let mut tasks: BTreeMap<String, (Rc<Pool>, TaskGuard)> = BTreeMap::new();
        loop {
            let seen = pools.changed.generation();
            let all = pools.all();
            tasks.retain(|server, (pool, _)| all.get(server).is_some_and(|current| Rc::ptr_eq(pool, current)));
            for (server, pool) in all {
                tasks.entry(server).or_insert_with(|| {
                    let (health, task_pool) = (self.clone(), pool.clone());
                    (pool, self.env.spawn(async move { health.sample_server(task_pool).await }))
                });
            }
            pools.changed.changed_since(seen).await;
        }
    }

    /// Samples a server of a group that confirms commits, whenever no response of it was recorded for a while: the
    /// primary within a part of the freshness bound, a replica several times within the drain bound.
    async fn sample_idle_server(&self, pool: Rc<Pool>) {
        let server = pool.server.clone();
        let statement = Statement::internal(StatementKind::Status);
        loop {
            let (timeout, missed_after) = {
                let bounds = self.bounds.borrow();
                (bounds.call_timeout(), bounds.server_missed_after())
            };
            self.env.sleep(if pool.sampling_factor() > 1 { missed_after / 2 } else { missed_after / 8 }).await;
            let now = self.env.now();
            let is_primary = self.journal.view().primary_leases.values().any(|l| l.server == server);
            let observation = self.observation(&server);
            let interval = if is_primary { missed_after } else { missed_after * REPLICA_INTERVAL_FACTOR };
            let interval = interval * pool.sampling_factor();
            let is_recent = observation.last_response_at.is_some_and(|t| now < t + interval)
                && observation.pending_since.is_none_or(|t| now < t + missed_after / 4);
            if pool.limit() == 0 {
                // No request can be sent now, and earlier unanswered ones must not count as unresponsiveness later.
                self.clear_pending(&server);
                pool.clear_connecting();
                continue;
            }
            if is_recent {
                continue;
            }
            // A connection that the server closed is detected only on use; the next one may work.
            while !self.probe(&pool, &statement, timeout).await {}
        }
    }

    /// Reads a server's position once. Returns false if the connection turned out to be closed.
    async fn probe(&self, pool: &Rc<Pool>, statement: &Statement, timeout: Duration) -> bool {
        let server = &pool.server;
        self.record_sent(server);
        let start = self.env.now();
        let idle_before = pool.idle();
        let mut slot = match pool.acquire(start + timeout).await {
            Ok(slot) => slot,
            Err(ErrorKind::Overloaded) => {
                self.record_response(server, start, None);
                return true;
            }
            Err(_) => {
                self.record_failed_read(server, self.env.now() - start < timeout / 4);
                return true;
            }
        };
        let requested_at = self.env.now();
        self.position_reads.set(self.position_reads.get() + 1);
        match slot.execute(statement, None, requested_at + timeout).await {
            Ok(reply) => {
                self.record_probe(server, true);
                self.record_response(server, requested_at, reply.position);
                true
            }
            Err(_) if idle_before > 0 && self.env.now() - requested_at < timeout / 4 => false,
            Err(_) => {
                self.record_failed_read(server, false);
                true
            }
        }
    }

    /// Samples one server at the sampling interval, on a connection that it keeps.
    async fn sample_server(&self, pool: Rc<Pool>) {
        if pool.protocol.is_some() {
            return self.sample_idle_server(pool).await;
        }
        let server = pool.server.clone();
        loop {
            let interval = self.bounds.borrow().sampling_interval();
            let timeout = self.bounds.borrow().call_timeout();
            let start = self.env.now();
            let slot = pool.acquire(start + timeout).await;
            let Ok(mut slot) = slot else {
                if pool.limit() > 0 {
                    self.record_failed_read(&server, self.env.now() - start < timeout / 4);
                }
                self.env.sleep(interval / 2).await;
                continue;
            };
            loop {
                if pool.limit() == 0 {
                    slot.taint();
                    break;
                }
                let seen = self.position_wanted.generation();
                let requested_at = self.env.now();
                let awaited = self.awaited_position(&server);
                let path = match awaited {
                    Some(position) => format!("{}?reach={position}", backend::POSITION_PATH),
                    None => backend::POSITION_PATH.to_string(),
                };
                self.position_reads.set(self.position_reads.get() + 1);
                let Ok(response) = slot.call(&path, &[], Bytes::new(), requested_at + timeout).await else {
                    self.record_failed_read(&server, self.env.now() - requested_at < timeout / 4);
                    break;
                };
                let metadata = backend::response_metadata(&response);
                let Some(position) = metadata.position else {
                    self.record_failed_read(&server, false);
                    break;
                };
                self.record_probe(&server, true);
                self.record_position(&server, requested_at, position, metadata.log_id);
                self.journal.append(Event::Draining { server: server.clone(), draining: metadata.draining });
                self.wait_for_next_sample(&server, seen, interval).await;
            }
            drop(slot);
            self.env.sleep(interval / 4).await;
        }
    }

    /// Waits for the sampling interval, or until a session waits for a commit on this server.
    async fn wait_for_next_sample(&self, server: &str, mut seen: u64, interval: Duration) {
        let end = self.env.now() + interval;
        while self.awaited_position(server).is_none() {
            let remaining = end.saturating_sub(self.env.now());
            if remaining.is_zero()
                || self.env.timeout(remaining, self.position_wanted.changed_since(seen)).await.is_err()
            {
                return;
            }
            seen = self.position_wanted.generation();
        }
    }

    fn awaited_position(&self, server: &str) -> Option<Position> {
        let observations = self.observations.borrow();
        let observation = observations.get(server)?;
        (observation.awaited_position > observation.position).then_some(observation.awaited_position)
    }

    fn record_failed_read(&self, server: &str, refused: bool) {
        self.record_probe(server, false);
        let mut observations = self.observations.borrow_mut();
        let observation = observations.entry(server.into()).or_default();
        observation.failed_reads += 1;
        observation.refused_connections = if refused { observation.refused_connections + 1 } else { 0 };
        if observation.failed_reads == 3 {
            self.env.log(Component::Pool, format!("{server} does not answer"));
        }
        drop(observations);
        self.position_changed.notify_waiters();
    }

    /// Requests that a server's sampling task reads until the server reaches this position.
    pub fn await_position(&self, server: &str, position: Position) {
        {
            let mut observations = self.observations.borrow_mut();
            let observation = observations.entry(server.into()).or_default();
            if observation.awaited_position >= position {
                return;
            }
            observation.awaited_position = position;
        }
        self.position_wanted.notify_waiters();
    }
}
