//! Weights of servers, by which reads are distributed.

use std::collections::BTreeMap;

use crate::Metrics;

/// The weight of each server by its name, from 1/8 to 1.
pub type Weights = BTreeMap<String, f64>;

/// The lowest weight of an eligible server. It is above 0, so that the server still gets requests and is measured.
const MIN_WEIGHT: f64 = 0.125;

/// Moves each weight half-way towards its target. The target is the 90th percentile of the fastest server relative to
/// that of this one, lowered by its error rate, its throttled rate and its coldness. `servers` are (name, metrics,
/// coldness), with a coldness from 0 (warm) to 1 (cold).
pub fn adjust_weights<'a>(old: &Weights, servers: impl Iterator<Item = (&'a str, Metrics, f64)> + Clone) -> Weights {
    let lowest_p90 =
        servers.clone().map(|(_, metrics, _)| metrics.p90).filter(|p| *p > 0.0).fold(f64::INFINITY, f64::min);
    servers
        .map(|(name, metrics, cold)| {
            let speed = if metrics.p90 > 0.0 && lowest_p90.is_finite() { lowest_p90 / metrics.p90 } else { 1.0 };
            let quality = (1.0 - metrics.error_rate) * (1.0 - metrics.throttled_rate) * (1.0 - cold.clamp(0.0, 1.0));
            let target = (speed * quality).clamp(MIN_WEIGHT, 1.0);
            let last = old.get(name).copied().unwrap_or(target);
            (name.to_string(), (last + target) / 2.0)
        })
        .collect()
}
