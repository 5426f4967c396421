use std::collections::BTreeMap;

use crate::Metrics;

/// A weight per server, from 1/8 to 1.
pub type Weights = BTreeMap<String, f64>;

/// The least weight a server of the list has, so that it goes on being measured.
const LEAST: f64 = 0.125;

/// Moves each weight half-way towards what the figures say. `cold` runs from 0, warm, to 1.
pub fn adjust_weights<'a>(old: &Weights, rows: impl Iterator<Item = (&'a str, Metrics, f64)> + Clone) -> Weights {
    let best = rows.clone().map(|(_, m, _)| m.p90).filter(|p| *p > 0.0).fold(f64::INFINITY, f64::min);
    rows.map(|(name, m, cold)| {
        let speed = if m.p90 > 0.0 && best.is_finite() { best / m.p90 } else { 1.0 };
        let good = (1.0 - m.error_rate) * (1.0 - m.throttled_rate) * (1.0 - cold.clamp(0.0, 1.0));
        let aim = (speed * good).clamp(LEAST, 1.0);
        let last = old.get(name).copied().unwrap_or(aim);
        (name.to_string(), (last + aim) / 2.0)
    })
    .collect()
}
