//! Reading JSON through nanoserde, with unknown, repeated and missing fields refused by name.

use nanoserde::{DeJson, DeJsonErr, DeJsonErrReason, DeJsonState, DeJsonTok};

/// Why a text was refused; names the field where there is one.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("line {line} column {col}: {text}")]
pub struct ParseError {
    pub line: usize,
    pub col: usize,
    pub text: String,
}

/// Reads a whole text; nothing may follow the value.
pub fn read<T: DeJson>(text: &[u8]) -> Result<T, ParseError> {
    let text = std::str::from_utf8(text).map_err(|e| ParseError {
        line: 1,
        col: e.valid_up_to(),
        text: "not UTF-8".into(),
    })?;
    let mut s = DeJsonState::default();
    let mut i = text.chars();
    s.next(&mut i);
    let out = s.next_tok(&mut i).and_then(|()| T::de_json(&mut s, &mut i)).map_err(fault)?;
    if s.tok != DeJsonTok::Eof {
        return Err(ParseError { line: s.line + 1, col: s.col, text: "text after the value".into() });
    }
    Ok(out)
}

fn fault(e: DeJsonErr) -> ParseError {
    let text = match e.msg {
        DeJsonErrReason::UnexpectedKey(k) => format!("unknown or repeated field {k}"),
        DeJsonErrReason::MissingKey(k) => format!("missing field {k}"),
        DeJsonErrReason::UnexpectedToken(t, w) => format!("found {t:?} where {w} belongs"),
        DeJsonErrReason::NoSuchEnum(k) => format!("no such choice {k}"),
        DeJsonErrReason::OutOfRange(k) => format!("out of range: {k}"),
        DeJsonErrReason::WrongType(k) => format!("wrong type: {k}"),
        DeJsonErrReason::CannotParse(k) => format!("cannot read {k}"),
        _ => "cannot read".into(),
    };
    ParseError { line: e.line + 1, col: e.col, text }
}

/// Names the field a fault lies in.
pub fn at(field: &str, mut e: DeJsonErr) -> DeJsonErr {
    if let DeJsonErrReason::UnexpectedToken(_, w)
    | DeJsonErrReason::OutOfRange(w)
    | DeJsonErrReason::WrongType(w)
    | DeJsonErrReason::CannotParse(w) = &mut e.msg
    {
        *w = format!("{w} (field {field})");
    }
    e
}

/// Declares a struct read strictly from JSON and written back. A field with `= value` may be left out.
#[macro_export]
macro_rules! strict {
    ($(#[$m:meta])* pub struct $n:ident { $($(#[$fm:meta])* pub $f:ident : $t:ty $(= $d:expr)?),* $(,)? }) => {
        $(#[$m])*
        #[derive(Clone, Debug, PartialEq)]
        pub struct $n { $($(#[$fm])* pub $f: $t),* }

        impl nanoserde::SerJson for $n {
            fn ser_json(&self, d: usize, s: &mut nanoserde::SerJsonState) {
                s.st_pre();
                let mut first = true;
                $(
                    if !std::mem::replace(&mut first, false) {
                        s.conl();
                    }
                    s.field(d + 1, stringify!($f));
                    self.$f.ser_json(d + 1, s);
                )*
                s.st_post(d);
            }
        }

        impl nanoserde::DeJson for $n {
            fn de_json(
                s: &mut nanoserde::DeJsonState,
                i: &mut core::str::Chars,
            ) -> Result<Self, nanoserde::DeJsonErr> {
                $(let mut $f: Option<$t> = None;)*
                s.curly_open(i)?;
                while s.next_str().is_some() {
                    let key = s.strbuf.clone();
                    match key.as_str() {
                        $(stringify!($f) if $f.is_none() => {
                            s.next_colon(i)?;
                            $f = Some(nanoserde::DeJson::de_json(s, i)
                                .map_err(|e| $crate::strict::at(&key, e))?);
                            s.eat_comma_curly(i)?;
                        })*
                        _ => return Err(s.err_exp(&key)),
                    }
                }
                s.curly_close(i)?;
                Ok(Self { $($f: $crate::strict!(@pick s, $f $(, $d)?)),* })
            }
        }
    };
    (@pick $s:ident, $f:ident) => {
        match $f { Some(v) => v, None => return Err($s.err_nf(stringify!($f))) }
    };
    (@pick $s:ident, $f:ident, $d:expr) => { $f.unwrap_or_else(|| $d) };
}
