//! The outer HTTP forms, each in one module, so that a form can change without the middle.

pub mod backend;
pub mod client;
pub mod operator;

use crate::{
    error::{ErrorKind, WriteOutcome},
    http::HttpResponse,
};

/// The answer to a request that can't be served, at once and final.
pub fn error_response(kind: ErrorKind, text: &str, kept: Option<WriteOutcome>) -> HttpResponse {
    use nanoserde::SerJson;
    let row = kind.response();
    let mut body = format!("{{\"error\":\"{}\",\"text\":", row.name);
    let text = if text.is_empty() { kind.to_string() } else { text.to_string() };
    body.push_str(&text.serialize_json());
    if let Some(k) = kept {
        body.push_str(&format!(",\"kept\":\"{k}\""));
    }
    body.push('}');
    let mut out = HttpResponse::new(row.status, body).with_header("content-type", "application/json");
    if let Some(s) = row.retry_after_s {
        out = out.with_header("retry-after", s);
    }
    if let Some(k) = kept {
        out = out.with_header(client::WRITE_OUTCOME_HEADER, k);
    }
    out
}
