//! The outer HTTP forms, each in one module, so that a form can change without the middle.

pub mod backend;
pub mod caller;
pub mod operator;

use crate::{
    error::{Kept, Kind},
    http::Return,
};

/// The answer to a request that can't be served, at once and final.
pub fn refuse(kind: Kind, text: &str, kept: Option<Kept>) -> Return {
    use nanoserde::SerJson;
    let row = kind.row();
    let mut body = format!("{{\"error\":\"{}\",\"text\":", row.name);
    let text = if text.is_empty() { kind.to_string() } else { text.to_string() };
    body.push_str(&text.serialize_json());
    if let Some(k) = kept {
        body.push_str(&format!(",\"kept\":\"{k}\""));
    }
    body.push('}');
    let mut out = Return::new(row.code, body).with("content-type", "application/json");
    if let Some(s) = row.retry {
        out = out.with("retry-after", s);
    }
    if let Some(k) = kept {
        out = out.with(caller::KEPT, k);
    }
    out
}
