//! Statements by whether they may be sent again. The two are types of their own, so that only what changes nothing can be
//! handed to a retry: a [`Once`] can't be copied, sending takes it away, and it comes back only where it surely was not run.

use super::{Statement, StatementKind};

/// A statement that changes nothing: it may be sent again, and to more than one server.
#[derive(Clone, Debug)]
pub struct Repeatable(Statement);

/// A statement that may take effect.
#[derive(Debug)]
pub struct Once(Statement);

/// A statement, sorted.
#[derive(Debug)]
pub enum Request {
    Repeatable(Repeatable),
    Once(Once),
}

impl Request {
    /// Sorts a statement by whether it may write.
    pub fn classify(said: Statement, writes: bool) -> Self {
        let reads = !writes && matches!(said.kind, StatementKind::Read | StatementKind::Execute);
        if reads { Self::Repeatable(Repeatable(said)) } else { Self::Once(Once(said)) }
    }
}

impl Repeatable {
    /// The opening of a transaction, of which nothing is kept before its commit; `None` where it is something else.
    pub fn begin(said: &Statement) -> Option<Self> {
        matches!(said.kind, StatementKind::Begin { .. }).then(|| Self(said.clone()))
    }

    /// What is said.
    pub fn statement(&self) -> &Statement {
        &self.0
    }
}

impl Once {
    /// A statement of which it is not known, or does not matter, that it changes nothing.
    pub fn new(said: Statement) -> Self {
        Self(said)
    }

    /// What is said; to look at, or to send together with taking this.
    pub fn statement(&self) -> &Statement {
        &self.0
    }
}
