//! Metrics as text, each with its kind and a line of help.

use crate::http::HttpResponse;

/// The lines that open a metric.
pub fn header_lines(name: &str, kind: &str, help: &str) -> String {
    format!("# HELP portspoke_{name} {help}\n# TYPE portspoke_{name} {kind}\n")
}

/// A page of name, kind, help and value.
pub fn page(rows: &[(&str, &str, &str, u64)]) -> HttpResponse {
    let text: String =
        rows.iter().map(|(n, k, h, v)| header_lines(n, k, h) + &format!("portspoke_{n} {v}\n")).collect();
    HttpResponse::new(200, text).with_header("content-type", "text/plain; version=0.0.4")
}
