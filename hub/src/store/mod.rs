//! What a control node keeps on its disk: two slots written in turn, a short log between.

mod record;

use std::{io, rc::Rc};

use base::runtime::{Component, Disk, Env};
use wire::Image;

pub use record::{FORMAT, HEAD, decode, encode};

const SLOTS: [&str; 2] = ["slot-a", "slot-b"];
const LOG: &str = "log";

/// How many records the log holds at least, however large they are.
const LARGE_RECORDS: u64 = 4;

/// Where an image stands among all that were ever written: by the leader's term, then by its count within it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Version {
    pub term: u64,
    pub index: u64,
}

/// All that a control node's votes and acknowledgements rest on.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DurableState {
    /// The newest term this node has voted in or followed a leader of.
    pub term: u64,
    /// Whom this node voted for in the term; empty for nobody.
    pub voted_for: String,
    /// The term in which the image was written.
    pub version_term: u64,
    /// Counts the images written, over all terms.
    pub version_index: u64,
    /// Shared with whoever reads or sends it; a change makes a new one.
    pub image: Option<Rc<Image>>,
    /// A random number of this disk, drawn when it was empty.
    pub incarnation: u64,
    /// An operator took this image knowingly, as the other disks are lost: the system may form anew from it.
    pub rescued: bool,
    /// The control nodes that were named at the first start of the whole system, if this disk was there: only they, this
    /// node among them, form the first image.
    pub formation_seeds: Vec<String>,
}

impl DurableState {
    /// Where the image stands.
    pub fn version(&self) -> Version {
        Version { term: self.version_term, index: self.version_index }
    }

    /// Whether this disk was there, and named, at the first start of the whole system.
    pub fn may_form(&self) -> bool {
        !self.formation_seeds.is_empty()
    }

    /// Whether there is no image that counts.
    pub fn empty(&self) -> bool {
        self.image.is_none() || self.rescued
    }
}

/// How a disk was found.
#[derive(Debug, PartialEq)]
pub enum Found {
    /// Nothing was ever written.
    Fresh,
    /// There are files, but no slot that can be read.
    Torn,
    Whole,
}

struct Log {
    turn: u64,
    state: DurableState,
    size: u64,
    steps: u64,
    broken: bool,
}

/// Why a store can't be opened at all.
#[derive(Debug, thiserror::Error)]
pub enum Fault {
    #[error("no data folder is set")]
    None,
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("{file} has format {found}, and this program knows {FORMAT} and older")]
    Newer { file: &'static str, found: u32 },
}

/// The owner of a hub's data folder.
pub struct Store {
    env: Env,
    disk: Rc<dyn Disk>,
    turn: u64,
    log_at: u64,
    most: u64,
    stale: bool,
}

impl Store {
    /// Opens the folder and reads what it remembers.
    pub async fn open(env: &Env, most: u64) -> Result<(Self, DurableState, Found), Fault> {
        let disk = env.disk().ok_or(Fault::None)?;
        let mut best: Option<(u64, DurableState)> = None;
        let mut any = false;
        for file in SLOTS {
            let Some(data) = disk.read(file).await? else { continue };
            any |= !data.is_empty();
            match decode(&data) {
                Ok(Some((turn, state, _))) if best.as_ref().is_none_or(|b| turn > b.0) => best = Some((turn, state)),
                Ok(_) => {}
                Err(found) => return Err(Fault::Newer { file, found }),
            }
        }
        let log = disk.read(LOG).await?;
        any |= log.as_ref().is_some_and(|l| !l.is_empty());
        let mut me = Self { env: env.clone(), disk, turn: 0, log_at: 0, most, stale: false };
        let Some((turn, state)) = best else {
            me.stale = true;
            return Ok((me, DurableState::default(), if any { Found::Torn } else { Found::Fresh }));
        };
        let log = me.replay(log.as_deref().unwrap_or_default())?;
        let (state, steps) = match log {
            // The newest slot may have rotted; the log that goes with it opens with the same content.
            Some(l) if l.turn >= turn => {
                if l.broken {
                    me.stale = true;
                    me.turn = l.turn;
                    return Ok((me, DurableState::default(), Found::Torn));
                }
                me.turn = l.turn;
                me.log_at = l.size;
                (l.state, l.steps)
            }
            _ => {
                me.turn = turn;
                (state, 0)
            }
        };
        env.log(Component::Disk, format!("slot turn {} and {steps} log records read", me.turn));
        Ok((me, state, Found::Whole))
    }

    fn replay(&self, log: &[u8]) -> Result<Option<Log>, Fault> {
        let newer = |found| Fault::Newer { file: LOG, found };
        let mut out: Option<Log> = None;
        let mut at = 0;
        while let Some((turn, state, size)) = decode(&log[at..]).map_err(newer)? {
            if out.as_ref().is_some_and(|o| o.turn != turn) {
                return Ok(out);
            }
            at += size;
            let steps = out.map_or(1, |o| o.steps + 1);
            out = Some(Log { turn, state, size: at as u64, steps, broken: false });
        }
        // Only the last record can have been cut off by a crash; a good one behind a bad one means rot.
        if let Some(o) = &mut out {
            for i in at + 1..log.len().saturating_sub(HEAD) {
                if matches!(decode(&log[i..]), Ok(Some((t, _, _))) if t == o.turn) {
                    o.broken = true;
                    break;
                }
            }
        }
        Ok(out)
    }

    /// Syncs what is to be remembered; only then may it be acted on.
    pub async fn save(&mut self, state: &DurableState) -> io::Result<()> {
        let record = encode(self.turn, state);
        // A log of large states holds a few of them at least, or each would be written twice.
        let most = self.most.max(record.len() as u64 * LARGE_RECORDS);
        let full = self.log_at + record.len() as u64 > most || self.stale || self.turn == 0;
        if full {
            let turn = self.turn + 1;
            if self.stale {
                // Turns begin anew on a disk that can't be read; no record of an older life may be taken for a newer.
                self.disk.write(LOG, Vec::new()).await?;
            }
            self.disk.write(SLOTS[turn as usize % 2], encode(turn, state)).await?;
            self.turn = turn;
            self.stale = false;
            // The log opens with the slot's content, so that a slot lost later is noticed and made good.
            self.log_at = 0;
        }
        let record = if full { encode(self.turn, state) } else { record };
        let size = record.len() as u64;
        match self.disk.append(LOG, self.log_at, record).await {
            Ok(()) => self.log_at += size,
            // The slot has it already; only its second copy found no room.
            Err(e) if full && e.kind() == io::ErrorKind::StorageFull => {}
            Err(e) => return Err(e),
        }
        Ok(())
    }

    /// Syncs; false when the disk has no room, and then what it held before still stands. Any other failed sync ends the
    /// process, since it leaves nothing to stand on.
    pub async fn keep(&mut self, state: &DurableState) -> bool {
        match self.save(state).await {
            Ok(()) => true,
            Err(e) if e.kind() == io::ErrorKind::StorageFull => {
                self.env.log(Component::Disk, "the disk is full; nothing new is taken");
                false
            }
            Err(e) => {
                self.env.abort_process(&format!("sync failed: {e}"));
                futures::future::pending().await
            }
        }
    }
}
