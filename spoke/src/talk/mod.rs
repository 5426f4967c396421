//! Sessions in the users' manner: what a caller says is answered here, or brought to the server that the decision object
//! names. Values and prepared names live in the session and are worn by whichever connection serves it.

mod caller_session;
mod read;
mod send;
mod trans;
mod write;

use std::rc::Rc;

use base::{
    ErrorKind,
    protocol::{DatabaseSession, SessionProvider, StatementError},
};

use crate::work::{WorkContext, bump};

/// Where doors open sessions.
pub struct SessionOpener {
    pub works: Rc<WorkContext>,
}

impl SessionProvider for SessionOpener {
    fn open_session(&self, name: &str) -> Result<Rc<dyn DatabaseSession>, StatementError> {
        match self.works.decider.gate(name) {
            Ok(_) => {}
            Err(ErrorKind::NoDatabase) => return Err(StatementError::not_committed(ErrorKind::NoDatabase)),
            Err(k) => return Err(StatementError::not_committed(k)),
        }
        bump(&self.works.tally.sessions);
        Ok(Rc::new(caller_session::CallerSession::new(&self.works, name)))
    }

    fn is_ready(&self) -> bool {
        let view = self.works.journal.view();
        let Some(image) = &view.image else { return false };
        let now = self.works.env.now();
        let served = image.groups.iter().filter(|g| view.leads.get(&g.name).is_some_and(|l| now < l.until)).count();
        self.works.decider.confirmed() && (served * 2 >= image.groups.len() || served > 0)
    }
}
