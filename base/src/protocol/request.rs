//! Statements classified by whether they may be sent more than once. There is a type for each class, so that only
//! statements without effect can be retried: a [`Once`] can't be copied, sending consumes it, and it is returned only
//! if it certainly was not executed.

use super::{Statement, StatementKind};

/// A statement that changes nothing: it may be sent again, also to several servers.
#[derive(Clone, Debug)]
pub struct Repeatable(Statement);

/// A statement that may have an effect: it must be sent at most once.
#[derive(Debug)]
pub struct Once(Statement);

/// A classified statement.
#[derive(Debug)]
pub enum Request {
    Repeatable(Repeatable),
    Once(Once),
}

impl Request {
    /// Classifies a statement. Reads, and executions of prepared statements, are repeatable unless the statement
    /// `writes`.
    pub fn classify(statement: Statement, writes: bool) -> Self {
        let reads = !writes && matches!(statement.kind, StatementKind::Read | StatementKind::Execute);
        if reads { Self::Repeatable(Repeatable(statement)) } else { Self::Once(Once(statement)) }
    }
}

impl Repeatable {
    /// The start of a transaction, which has no effect before its commit; `None` for any other statement.
    pub fn begin(statement: &Statement) -> Option<Self> {
        matches!(statement.kind, StatementKind::Begin { .. }).then(|| Self(statement.clone()))
    }

    /// The statement.
    pub fn statement(&self) -> &Statement {
        &self.0
    }
}

impl Once {
    /// A statement that may have an effect, or that is not to be repeated for another reason.
    pub fn new(statement: Statement) -> Self {
        Self(statement)
    }

    /// The statement, to inspect it, or to send it while consuming this value.
    pub fn statement(&self) -> &Statement {
        &self.0
    }
}
