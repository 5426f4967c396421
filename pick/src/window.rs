//! Metrics over a sliding time window.

use std::time::Duration;

use crate::Metrics;

/// The number of slices that the window is divided into; it moves on by one slice at a time.
const SLICES: usize = 12;
/// The number of buckets of the response time histogram in each slice.
const BUCKETS: usize = 64;

/// The outcome of a request to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A statement that succeeded.
    Success,
    /// A statement that failed.
    Error,
    /// A statement that the server rejected because of overload.
    Throttled,
    /// A position probe that was answered. Its response time is not counted, as it is no measure of that of statements.
    Probe,
    /// A position probe that was not answered.
    ProbeFailed,
}

/// The counters of one slice of the window.
#[derive(Clone)]
struct Slice {
    /// Which slice since time 0 this is; `u64::MAX` if nothing was recorded.
    number: u64,
    count: u64,
    errors: u64,
    throttled: u64,
    probes: u64,
    missed: u64,
    /// Response times of successful statements.
    buckets: [u32; BUCKETS],
}

impl Default for Slice {
    fn default() -> Self {
        Self { number: u64::MAX, count: 0, errors: 0, throttled: 0, probes: 0, missed: 0, buckets: [0; BUCKETS] }
    }
}

/// Counters and response times over a sliding window, in bounded space: twelve slices with 64 histogram buckets each.
/// The totals are counted since the start.
#[derive(Clone)]
pub struct Window {
    duration: Duration,
    slices: Vec<Slice>,
    errors: u64,
    count: u64,
}

/// The histogram bucket of a response time. From 64 µs on there are four buckets for each doubling, which gives an
/// error of at most a fifth.
fn bucket(time: Duration) -> usize {
    let units = time.as_micros() as u64 / 16;
    if units < 4 {
        return units as usize;
    }
    let top_bit = 63 - units.leading_zeros() as usize;
    ((top_bit - 1) * 4 + ((units >> (top_bit - 2)) & 3) as usize).min(BUCKETS - 1)
}

/// The upper limit of a bucket, in seconds.
fn upper_limit_s(bucket: usize) -> f64 {
    let units = if bucket < 4 { bucket as u64 + 1 } else { (4 + (bucket as u64 & 3) + 1) << (bucket / 4 - 1) };
    units as f64 * 16e-6
}

impl Window {
    /// An empty window of the given duration.
    pub fn new(duration: Duration) -> Self {
        Self { duration, slices: vec![Slice::default(); SLICES], errors: 0, count: 0 }
    }

    /// Changes the duration of the window. If it differs, all measurements but the totals are discarded.
    pub fn resize(&mut self, duration: Duration) {
        if duration != self.duration {
            self.duration = duration;
            self.slices.fill(Slice::default());
        }
    }

    /// The number of the slice at time `now`.
    fn slice_number(&self, now: Duration) -> u64 {
        let slice_ns = (self.duration.as_nanos() / SLICES as u128).max(1);
        (now.as_nanos() / slice_ns) as u64
    }

    /// Records the outcome and the response time of a request that ended at `now`.
    pub fn record(&mut self, now: Duration, outcome: Outcome, response_time: Duration) {
        let number = self.slice_number(now);
        let slice = &mut self.slices[number as usize % SLICES];
        if slice.number != number {
            *slice = Slice { number, ..Slice::default() };
        }
        self.count += 1;
        match outcome {
            Outcome::Probe | Outcome::ProbeFailed => slice.probes += 1,
            _ => slice.count += 1,
        }
        match outcome {
            Outcome::Success => slice.buckets[bucket(response_time)] += 1,
            Outcome::Probe => {}
            Outcome::ProbeFailed => {
                slice.missed += 1;
                self.errors += 1;
            }
            Outcome::Throttled => slice.throttled += 1,
            Outcome::Error => {
                slice.errors += 1;
                self.errors += 1;
            }
        }
    }

    /// The metrics of the window that ends at `now`, together with the given `lag` in log positions.
    pub fn metrics(&self, now: Duration, lag: u64) -> Metrics {
        let number = self.slice_number(now);
        let current = self.slices.iter().filter(|s| s.number != u64::MAX && s.number + SLICES as u64 > number);
        let (mut count, mut errors, mut throttled, mut probes, mut missed) = (0, 0, 0, 0, 0);
        let mut buckets = [0u64; BUCKETS];
        for slice in current {
            count += slice.count;
            errors += slice.errors;
            throttled += slice.throttled;
            probes += slice.probes;
            missed += slice.missed;
            buckets.iter_mut().zip(slice.buckets).for_each(|(a, b)| *a += u64::from(b));
        }
        let rate = |part: u64, total: u64| if total == 0 { 0.0 } else { part as f64 / total as f64 };
        let good: u64 = buckets.iter().sum();
        let percentile = |share: f64| {
            let required = (good as f64 * share).ceil() as u64;
            let mut sum = 0;
            for (i, count) in buckets.iter().enumerate() {
                sum += count;
                if good > 0 && sum >= required.max(1) {
                    return upper_limit_s(i);
                }
            }
            0.0
        };
        Metrics {
            // Probes are many and statements may be few. A common rate would let one of them hide the failures of the
            // other.
            error_rate: rate(errors, count).max(rate(missed, probes)),
            errors_total: self.errors,
            requests_total: self.count,
            throttled_rate: rate(throttled, count),
            p90: percentile(0.90),
            p95: percentile(0.95),
            p99: percentile(0.99),
            lag,
        }
    }
}
