//! How late the tasks of this process run: the sign that it is short of processor time.

use std::{cell::Cell, convert::Infallible, rc::Rc, time::Duration};

use crate::runtime::{Component, Env};

/// At most one log line in so many steps.
const STEPS_PER_LINE: u32 = 8;

/// Measures by how much a timer fires late.
pub struct LoopLag {
    env: Env,
    step: Duration,
    latest: Cell<Duration>,
    worst: Cell<Duration>,
}

impl LoopLag {
    /// A measurement every `step`; a timer that is late by half of that is logged.
    pub fn new(env: &Env, step: Duration) -> Rc<Self> {
        Rc::new(Self { env: env.clone(), step, latest: Cell::default(), worst: Cell::default() })
    }

    /// The newest measurement.
    pub fn newest(&self) -> Duration {
        self.latest.get()
    }

    /// The worst since the start.
    pub fn worst(&self) -> Duration {
        self.worst.get()
    }

    /// Measures for as long as the process runs.
    pub async fn watch(self: Rc<Self>) -> Result<(), Infallible> {
        let mut quiet_until = Duration::ZERO;
        loop {
            let due = self.env.now() + self.step;
            self.env.sleep(self.step).await;
            let late = self.env.now().saturating_sub(due);
            self.latest.set(late);
            self.worst.set(self.worst.get().max(late));
            if late > self.step / 2 && self.env.now() >= quiet_until {
                quiet_until = self.env.now() + self.step * STEPS_PER_LINE;
                self.env.log(Component::Main, format!("tasks run {} ms late", late.as_millis()));
            }
        }
    }
}
