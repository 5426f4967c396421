//! Measures how late timers fire in this process: a sign that it is short of processor time.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    convert::Infallible,
    rc::Rc,
    time::Duration,
};

use crate::runtime::{Component, Env};

/// After a log line, none is written for this many intervals.
const INTERVALS_BETWEEN_LOG_LINES: u32 = 8;

/// How many delays are kept.
const MAX_KEPT_DELAYS: usize = 64;

/// Measures by how much a timer fires late.
pub struct LoopLag {
    env: Env,
    interval: Duration,
    latest: Cell<Duration>,
    worst: Cell<Duration>,
    /// When the timer that runs now is due; `None` before the first.
    due_at: Cell<Option<Duration>>,
    /// The newest delays, each with the time at which it ended.
    delays: RefCell<VecDeque<(Duration, Duration)>>,
}

impl LoopLag {
    /// Measures once every `interval`; a delay of more than half of it is logged.
    pub fn new(env: &Env, interval: Duration) -> Rc<Self> {
        Rc::new(Self {
            env: env.clone(),
            interval,
            latest: Cell::default(),
            worst: Cell::default(),
            due_at: Cell::default(),
            delays: RefCell::default(),
        })
    }

    /// For how long this process has been running since `start`, without the time in which its tasks were late. What
    /// others did not do in the time that is left out says nothing about them: their answers may lie unread.
    pub fn responsive_since(&self, start: Duration) -> Duration {
        let now = self.env.now();
        let overdue = self.due_at.get().map_or(Duration::ZERO, |due_at| now.saturating_sub(due_at.max(start)));
        let delays = self.delays.borrow();
        let late = delays.iter().map(|(ended_at, delay)| (*delay).min(ended_at.saturating_sub(start)));
        now.saturating_sub(start).saturating_sub(overdue + late.sum::<Duration>())
    }

    /// The delay measured last.
    pub fn latest(&self) -> Duration {
        self.latest.get()
    }

    /// The longest delay since the start.
    pub fn worst(&self) -> Duration {
        self.worst.get()
    }

    fn record(&self, delay: Duration) {
        self.due_at.set(None);
        if delay.is_zero() {
            return;
        }
        let mut delays = self.delays.borrow_mut();
        delays.push_back((self.env.now(), delay));
        if delays.len() > MAX_KEPT_DELAYS {
            delays.pop_front();
        }
    }

    /// Measures until the returned future is dropped.
    pub async fn watch(self: Rc<Self>) -> Result<(), Infallible> {
        let mut quiet_until = Duration::ZERO;
        loop {
            let expected = self.env.now() + self.interval;
            self.due_at.set(Some(expected));
            self.env.sleep(self.interval).await;
            let delay = self.env.now().saturating_sub(expected);
            self.record(delay);
            self.latest.set(delay);
            self.worst.set(self.worst.get().max(delay));
            if delay > self.interval / 2 && self.env.now() >= quiet_until {
                quiet_until = self.env.now() + self.interval * INTERVALS_BETWEEN_LOG_LINES;
                self.env.log(Component::Main, format!("tasks run {} ms late", delay.as_millis()));
            }
        }
    }
}
