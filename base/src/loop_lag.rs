//! Measures how late timers fire in this process: a sign that it is short of processor time.

use std::{cell::Cell, convert::Infallible, rc::Rc, time::Duration};

use crate::runtime::{Component, Env};

/// After a log line, none is written for this many intervals.
const INTERVALS_BETWEEN_LOG_LINES: u32 = 8;

/// Measures by how much a timer fires late.
pub struct LoopLag {
    env: Env,
    interval: Duration,
    latest: Cell<Duration>,
    worst: Cell<Duration>,
}

impl LoopLag {
    /// Measures once every `interval`; a delay of more than half of it is logged.
    pub fn new(env: &Env, interval: Duration) -> Rc<Self> {
        Rc::new(Self { env: env.clone(), interval, latest: Cell::default(), worst: Cell::default() })
    }

    /// The delay measured last.
    pub fn latest(&self) -> Duration {
        self.latest.get()
    }

    /// The longest delay since the start.
    pub fn worst(&self) -> Duration {
        self.worst.get()
    }

    /// Measures until the returned future is dropped.
    pub async fn watch(self: Rc<Self>) -> Result<(), Infallible> {
        let mut quiet_until = Duration::ZERO;
        loop {
            let expected = self.env.now() + self.interval;
            self.env.sleep(self.interval).await;
            let delay = self.env.now().saturating_sub(expected);
            self.latest.set(delay);
            self.worst.set(self.worst.get().max(delay));
            if delay > self.interval / 2 && self.env.now() >= quiet_until {
                quiet_until = self.env.now() + self.interval * INTERVALS_BETWEEN_LOG_LINES;
                self.env.log(Component::Main, format!("tasks run {} ms late", delay.as_millis()));
            }
        }
    }
}
