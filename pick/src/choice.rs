/// Chooses among `(weight, load)` pairs by chance `roll` in 0..1: of two drawn by weight, the less loaded.
pub fn choose(rows: &[(f64, f64)], roll: (f64, f64)) -> Option<usize> {
    let draw = |roll: f64| {
        let sum: f64 = rows.iter().map(|r| r.0).sum();
        let mut rest = roll * sum;
        rows.iter()
            .position(|r| {
                rest -= r.0;
                rest < 0.0
            })
            .or(rows.len().checked_sub(1))
    };
    let (a, b) = (draw(roll.0)?, draw(roll.1)?);
    Some(if rows[b].1 < rows[a].1 { b } else { a })
}
