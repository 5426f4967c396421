//! Metrics as text, each with its kind and a line of help.

use crate::http::Return;

/// The lines that open a metric.
pub fn head(name: &str, kind: &str, help: &str) -> String {
    format!("# HELP portspoke_{name} {help}\n# TYPE portspoke_{name} {kind}\n")
}

/// A page of name, kind, help and value.
pub fn page(rows: &[(&str, &str, &str, u64)]) -> Return {
    let text: String = rows.iter().map(|(n, k, h, v)| head(n, k, h) + &format!("portspoke_{n} {v}\n")).collect();
    Return::new(200, text).with("content-type", "text/plain; version=0.0.4")
}
