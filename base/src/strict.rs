//! Strict JSON parsing on top of nanoserde: unknown, repeated and missing fields are errors that name the field.

use nanoserde::{DeJson, DeJsonErr, DeJsonErrReason, DeJsonState, DeJsonTok};

/// Why a text could not be parsed; names the field where there is one.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("line {line} column {col}: {text}")]
pub struct ParseError {
    pub line: usize,
    pub col: usize,
    pub text: String,
}

/// Parses a text that holds one JSON value and nothing after it.
pub fn read<T: DeJson>(text: &[u8]) -> Result<T, ParseError> {
    let text = std::str::from_utf8(text).map_err(|e| ParseError {
        line: 1,
        col: e.valid_up_to(),
        text: "not UTF-8".into(),
    })?;
    let mut state = DeJsonState::default();
    let mut chars = text.chars();
    state.next(&mut chars);
    let value = state.next_tok(&mut chars).and_then(|()| T::de_json(&mut state, &mut chars)).map_err(parse_error)?;
    if state.tok != DeJsonTok::Eof {
        return Err(ParseError { line: state.line + 1, col: state.col, text: "text after the value".into() });
    }
    Ok(value)
}

fn parse_error(e: DeJsonErr) -> ParseError {
    let text = match e.msg {
        DeJsonErrReason::UnexpectedKey(k) => format!("unknown or repeated field {k}"),
        DeJsonErrReason::MissingKey(k) => format!("missing field {k}"),
        DeJsonErrReason::UnexpectedToken(found, expected) => format!("found {found:?} where {expected} belongs"),
        DeJsonErrReason::NoSuchEnum(k) => format!("no such choice {k}"),
        DeJsonErrReason::OutOfRange(k) => format!("out of range: {k}"),
        DeJsonErrReason::WrongType(k) => format!("wrong type: {k}"),
        DeJsonErrReason::CannotParse(k) => format!("cannot read {k}"),
        _ => "cannot read".into(),
    };
    ParseError { line: e.line + 1, col: e.col, text }
}

/// Adds the name of the field to an error that has none.
pub fn in_field(field: &str, mut e: DeJsonErr) -> DeJsonErr {
    if let DeJsonErrReason::UnexpectedToken(_, text)
    | DeJsonErrReason::OutOfRange(text)
    | DeJsonErrReason::WrongType(text)
    | DeJsonErrReason::CannotParse(text) = &mut e.msg
    {
        *text = format!("{text} (field {field})");
    }
    e
}

/// Declares a struct that is parsed strictly from JSON and can be serialized. The names of the fields are the JSON
/// keys. A field with a default (`= value`) may be left out of the text.
#[macro_export]
macro_rules! strict {
    ($(#[$meta:meta])* pub struct $name:ident {
        $($(#[$field_meta:meta])* pub $field:ident : $field_type:ty $(= $default:expr)?),* $(,)?
    }) => {
        $(#[$meta])*
        #[derive(Clone, Debug, PartialEq)]
        pub struct $name { $($(#[$field_meta])* pub $field: $field_type),* }

        impl nanoserde::SerJson for $name {
            fn ser_json(&self, depth: usize, state: &mut nanoserde::SerJsonState) {
                state.st_pre();
                let mut first = true;
                $(
                    if !std::mem::replace(&mut first, false) {
                        state.conl();
                    }
                    state.field(depth + 1, stringify!($field));
                    self.$field.ser_json(depth + 1, state);
                )*
                state.st_post(depth);
            }
        }

        impl nanoserde::DeJson for $name {
            fn de_json(
                state: &mut nanoserde::DeJsonState,
                chars: &mut core::str::Chars,
            ) -> Result<Self, nanoserde::DeJsonErr> {
                $(let mut $field: Option<$field_type> = None;)*
                state.curly_open(chars)?;
                while state.next_str().is_some() {
                    let key = state.strbuf.clone();
                    match key.as_str() {
                        $(stringify!($field) if $field.is_none() => {
                            state.next_colon(chars)?;
                            $field = Some(nanoserde::DeJson::de_json(state, chars)
                                .map_err(|e| $crate::strict::in_field(&key, e))?);
                            state.eat_comma_curly(chars)?;
                        })*
                        _ => return Err(state.err_exp(&key)),
                    }
                }
                state.curly_close(chars)?;
                Ok(Self { $($field: $crate::strict!(@value state, $field $(, $default)?)),* })
            }
        }
    };
    (@value $state:ident, $field:ident) => {
        match $field { Some(v) => v, None => return Err($state.err_nf(stringify!($field))) }
    };
    (@value $state:ident, $field:ident, $default:expr) => { $field.unwrap_or_else(|| $default) };
}
