//! The choice of a server for one read.

/// Chooses the index of one of the `(weight, load)` pairs: draws two of them with a probability proportional to their
/// weights, one for each random number of `rolls` (in 0..1), and returns the one with the lower load. `None` if
/// `candidates` is empty.
pub fn choose(candidates: &[(f64, f64)], rolls: (f64, f64)) -> Option<usize> {
    let draw = |roll: f64| {
        let total_weight: f64 = candidates.iter().map(|c| c.0).sum();
        let mut rest = roll * total_weight;
        candidates
            .iter()
            .position(|c| {
                rest -= c.0;
                rest < 0.0
            })
            .or(candidates.len().checked_sub(1))
    };
    let (first, second) = (draw(rolls.0)?, draw(rolls.1)?);
    Some(if candidates[second].1 < candidates[first].1 { second } else { first })
}
