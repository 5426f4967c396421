use std::time::Duration;

use crate::Metrics;

const SLICES: usize = 12;
const CELLS: usize = 64;

/// How a request to a server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Good,
    Error,
    Throttled,
    /// A reading of the position that was answered; its time says nothing of statements.
    Probe,
    /// A reading of the position that was not.
    Missed,
}

#[derive(Clone)]
struct Slice {
    turn: u64,
    count: u64,
    errors: u64,
    throttled: u64,
    probes: u64,
    missed: u64,
    cells: [u32; CELLS],
}

impl Default for Slice {
    fn default() -> Self {
        Self { turn: u64::MAX, count: 0, errors: 0, throttled: 0, probes: 0, missed: 0, cells: [0; CELLS] }
    }
}

/// Counters and response times over a scoring window, in bounded space: twelve slices of 64 cells.
#[derive(Clone)]
pub struct Window {
    span: Duration,
    slices: Vec<Slice>,
    errors: u64,
    count: u64,
}

/// Four cells to each doubling from 64 µs on: an error of at most a fifth.
fn cell(time: Duration) -> usize {
    let us = time.as_micros() as u64 / 16;
    if us < 4 {
        return us as usize;
    }
    let top = 63 - us.leading_zeros() as usize;
    ((top - 1) * 4 + ((us >> (top - 2)) & 3) as usize).min(CELLS - 1)
}

/// The upper edge of a cell, in seconds.
fn edge(cell: usize) -> f64 {
    let us = if cell < 4 { cell as u64 + 1 } else { (4 + (cell as u64 & 3) + 1) << (cell / 4 - 1) };
    us as f64 * 16e-6
}

impl Window {
    /// A window of `span`.
    pub fn new(span: Duration) -> Self {
        Self { span, slices: vec![Slice::default(); SLICES], errors: 0, count: 0 }
    }

    /// Changes the span; what was measured under the old one goes.
    pub fn resize(&mut self, span: Duration) {
        if span != self.span {
            self.span = span;
            self.slices.fill(Slice::default());
        }
    }

    fn turn(&self, now: Duration) -> u64 {
        let step = (self.span.as_nanos() / SLICES as u128).max(1);
        (now.as_nanos() / step) as u64
    }

    /// Takes in one request's end.
    pub fn record(&mut self, now: Duration, out: Outcome, time: Duration) {
        let turn = self.turn(now);
        let s = &mut self.slices[turn as usize % SLICES];
        if s.turn != turn {
            *s = Slice { turn, ..Slice::default() };
        }
        self.count += 1;
        match out {
            Outcome::Probe | Outcome::Missed => s.probes += 1,
            _ => s.count += 1,
        }
        match out {
            Outcome::Good => s.cells[cell(time)] += 1,
            Outcome::Probe => {}
            Outcome::Missed => {
                s.missed += 1;
                self.errors += 1;
            }
            Outcome::Throttled => s.throttled += 1,
            Outcome::Error => {
                s.errors += 1;
                self.errors += 1;
            }
        }
    }

    /// The figures at `now`, with the lag as known from log positions.
    pub fn metrics(&self, now: Duration, lag: u64) -> Metrics {
        let turn = self.turn(now);
        let live = self.slices.iter().filter(|s| s.turn != u64::MAX && s.turn + SLICES as u64 > turn);
        let (mut count, mut errors, mut throttled, mut probes, mut missed) = (0, 0, 0, 0, 0);
        let mut cells = [0u64; CELLS];
        for s in live {
            count += s.count;
            errors += s.errors;
            throttled += s.throttled;
            probes += s.probes;
            missed += s.missed;
            cells.iter_mut().zip(s.cells).for_each(|(a, b)| *a += u64::from(b));
        }
        let rate = |n: u64, of: u64| if of == 0 { 0.0 } else { n as f64 / of as f64 };
        let good: u64 = cells.iter().sum();
        let mark = |part: f64| {
            let need = (good as f64 * part).ceil() as u64;
            let mut sum = 0;
            for (i, n) in cells.iter().enumerate() {
                sum += n;
                if good > 0 && sum >= need.max(1) {
                    return edge(i);
                }
            }
            0.0
        };
        Metrics {
            // Readings are many and statements may be few: neither may hide the other's failures.
            error_rate: rate(errors, count).max(rate(missed, probes)),
            errors_total: self.errors,
            requests_total: self.count,
            throttled_rate: rate(throttled, count),
            p90: mark(0.90),
            p95: mark(0.95),
            p99: mark(0.99),
            lag,
        }
    }
}
