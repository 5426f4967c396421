use std::{rc::Rc, time::Duration};

use base::{
    Kind,
    edge::{backend, caller::Verb},
    http::{Client, Fault, Return},
};
use bytes::Bytes;

use super::{Conn, Dress, Pool};

/// The largest body a server may answer with.
const MOST: usize = 8 << 20;

/// The right to one connection; gives it back when dropped.
pub struct Slot {
    pool: Rc<Pool>,
    conn: Option<Conn>,
    spoilt: bool,
}

impl Slot {
    pub(super) fn new(pool: &Rc<Pool>, conn: Option<Conn>) -> Self {
        pool.used.set(pool.used.get() + 1);
        pool.peak.set(pool.peak.get().max(pool.used.get()));
        Self { pool: pool.clone(), conn, spoilt: false }
    }

    /// The server it leads to.
    pub fn server(&self) -> &str {
        &self.pool.server
    }

    pub(super) async fn connect(&mut self, due: Duration) -> Result<(), Kind> {
        if self.conn.is_some() {
            return Ok(());
        }
        let span = due.saturating_sub(self.pool.env.now());
        match Client::connect(&self.pool.env, self.pool.addr, span, MOST).await {
            Ok(line) => {
                self.pool.opened.set(self.pool.opened.get() + 1);
                self.conn = Some(Conn { line, dress: None });
                Ok(())
            }
            Err(_) => Err(Kind::NoServer),
        }
    }

    /// Never to be used again, as its clean state can't be shown.
    pub fn spoil(&mut self) {
        self.spoilt = true;
    }

    /// Sends one statement; without an answer the connection is never used again.
    pub async fn call(
        &mut self,
        path: &str,
        head: &[(&str, String)],
        body: Bytes,
        due: Duration,
    ) -> Result<Return, Fault> {
        let span = due.saturating_sub(self.pool.env.now());
        let Some(conn) = &mut self.conn else { return Err(Fault::Unsent) };
        let method = if path.starts_with(backend::PLACE) { "GET" } else { "POST" };
        // Spoilt until answered: a task dropped half-way leaves a connection in an unknown state.
        let was = std::mem::replace(&mut self.spoilt, true);
        let out = conn.line.call(method, path, head, body, span).await?;
        self.spoilt = was || out.close;
        Ok(out)
    }

    /// Makes the connection wear exactly this session's state: wiped of any other, replayed where missing.
    pub async fn dress(&mut self, want: &Dress, state: &[(Verb, Bytes)], due: Duration) -> Result<(), Fault> {
        let has = self.conn.as_ref().and_then(|c| c.dress.clone());
        let from = match &has {
            None => 0,
            Some(h) if h.session == want.session && h.name == want.name && h.count <= want.count => h.count,
            Some(_) => {
                let out = self.call(backend::RESET, &[], Bytes::new(), due).await?;
                if out.code >= 300 {
                    self.spoil();
                    return Err(Fault::Unsent);
                }
                0
            }
        };
        if let Some(c) = &mut self.conn {
            c.dress = None;
        }
        for (verb, body) in &state[from..] {
            let out = self.call(backend::path(*verb), &[], body.clone(), due).await;
            if !matches!(&out, Ok(o) if o.code < 300) {
                self.spoil();
                return Err(Fault::Unsent);
            }
        }
        if let Some(c) = &mut self.conn {
            c.dress = (want.count > 0).then(|| want.clone());
        }
        Ok(())
    }

    /// Notes that the connection now wears one more statement of the session.
    pub fn wore(&mut self, dress: Dress) {
        if let Some(c) = &mut self.conn {
            c.dress = Some(dress);
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        self.pool.used.set(self.pool.used.get() - 1);
        let conn = if self.spoilt { None } else { self.conn.take() };
        self.pool.back(conn);
    }
}
