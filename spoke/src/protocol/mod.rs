//! Client sessions that are independent of a wire format: statements are answered here, or sent to the server that the
//! router selects. Values and prepared names belong to the session and are applied to whichever connection serves it.

mod attempt;
mod client_session;
mod read;
mod transaction;
mod write;

use std::rc::Rc;

use base::{
    ErrorKind,
    protocol::{DatabaseSession, SessionProvider, StatementError},
};

use crate::execution::{ExecutionContext, increment};

/// Opens sessions for the endpoints that accept clients.
pub struct SessionOpener {
    pub context: Rc<ExecutionContext>,
}

impl SessionProvider for SessionOpener {
    fn open_session(&self, name: &str) -> Result<Rc<dyn DatabaseSession>, StatementError> {
        match self.context.router.route(name) {
            Ok(_) => {}
            Err(ErrorKind::NoDatabase) => return Err(StatementError::not_committed(ErrorKind::NoDatabase)),
            Err(kind) => return Err(StatementError::not_committed(kind)),
        }
        increment(&self.context.counters.sessions);
        Ok(Rc::new(client_session::ClientSession::new(&self.context, name)))
    }

    fn is_ready(&self) -> bool {
        let view = self.context.journal.view();
        let Some(image) = &view.image else { return false };
        let now = self.context.env.now();
        let is_served =
            |group: &wire::Group| view.primary_leases.get(&group.name).is_some_and(|lease| now < lease.valid_until);
        self.context.router.is_confirmed() && (image.groups.is_empty() || image.groups.iter().any(is_served))
    }
}
