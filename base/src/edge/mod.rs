//! The HTTP protocols of clients, database servers and operators, one module for each, so that a protocol can change
//! without the core.

pub mod backend;
pub mod client;
pub mod operator;

use crate::{
    error::{ErrorKind, WriteOutcome},
    http::HttpResponse,
};

/// The response to a request that can't be served. An empty `text` stands for the text of the error kind; `outcome` is
/// given for requests that could have written.
pub fn error_response(kind: ErrorKind, text: &str, outcome: Option<WriteOutcome>) -> HttpResponse {
    use nanoserde::SerJson;
    let error = kind.response();
    let mut body = format!("{{\"error\":\"{}\",\"text\":", error.name);
    let text = if text.is_empty() { kind.to_string() } else { text.to_string() };
    body.push_str(&text.serialize_json());
    if let Some(outcome) = outcome {
        body.push_str(&format!(",\"kept\":\"{outcome}\""));
    }
    body.push('}');
    let mut response = HttpResponse::new(error.status, body).with_header("content-type", "application/json");
    if let Some(seconds) = error.retry_after_s {
        response = response.with_header("retry-after", seconds);
    }
    if let Some(outcome) = outcome {
        response = response.with_header(client::WRITE_OUTCOME_HEADER, outcome);
    }
    response
}
