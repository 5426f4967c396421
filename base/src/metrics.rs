//! Metrics in the Prometheus text format.

use crate::http::HttpResponse;

/// The HELP and TYPE lines of a metric; `portspoke_` is put before its name.
pub fn header_lines(name: &str, kind: &str, help: &str) -> String {
    format!("# HELP portspoke_{name} {help}\n# TYPE portspoke_{name} {kind}\n")
}

/// A response with one metric for each (name, kind, help, value).
pub fn page(metrics: &[(&str, &str, &str, u64)]) -> HttpResponse {
    let text: String = metrics
        .iter()
        .map(|(name, kind, help, value)| header_lines(name, kind, help) + &format!("portspoke_{name} {value}\n"))
        .collect();
    HttpResponse::new(200, text).with_header("content-type", "text/plain; version=0.0.4")
}
