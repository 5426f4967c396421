//! The data folder of a control node: two slot files written alternately, and a short log of the states since.
//!
//! A record holds a whole state. When the log is full, the next state goes into the slot that is not the newest one,
//! and the log starts again with the same state. Slot writes are numbered by generation; a record of the log belongs to
//! the slot of the same generation.

mod record;

use std::{io, rc::Rc};

use base::runtime::{Component, Disk, Env};
use wire::Image;

pub use record::{FORMAT_VERSION, HEADER_BYTES, decode, encode};
use record::{encode_data, with_header};

const SLOT_FILES: [&str; 2] = ["slot-a", "slot-b"];
const LOG_FILE: &str = "log";

/// The number of records that the log has room for at least, however large they are.
const MIN_LOG_RECORDS: u64 = 4;

/// The version of an image, ordered by the term of the leader that saved it, then by index.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Version {
    pub term: u64,
    /// Counts the images saved, over all terms.
    pub index: u64,
}

/// The state that a control node must sync before it votes or acknowledges.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DurableState {
    /// The newest term in which this node voted or followed a leader.
    pub term: u64,
    /// Name of the candidate that this node voted for in the term; empty if it has not voted.
    pub voted_for: String,
    /// The term in which the image was saved by a leader.
    pub version_term: u64,
    /// The index of the image; counts the images saved, over all terms.
    pub version_index: u64,
    /// The replicated state; it is shared, and a change creates a new one.
    pub image: Option<Rc<Image>>,
    /// A random number that identifies this disk, drawn when the disk held no state.
    pub incarnation: u64,
    /// An operator rescued this image because the other disks are lost: a new system may form from it.
    pub rescued: bool,
    /// Addresses of the control nodes that were named in the settings at the first start of the whole system; empty if
    /// this disk was not used then. Only these nodes form the first image.
    pub formation_seeds: Vec<String>,
}

impl DurableState {
    /// Version of the image.
    pub fn version(&self) -> Version {
        Version { term: self.version_term, index: self.version_index }
    }

    /// Whether this node may form the first image: its disk was used at the first start of the whole system, and its
    /// address was among the seeds.
    pub fn may_form(&self) -> bool {
        !self.formation_seeds.is_empty()
    }

    /// Whether there is no valid image; a rescued image is not valid before the system has formed from it.
    pub fn has_no_image(&self) -> bool {
        self.image.is_none() || self.rescued
    }
}

/// What was found on the disk when the store was opened.
#[derive(Debug, PartialEq)]
pub enum DiskContent {
    /// Nothing was written yet.
    Empty,
    /// There is data, but no state can be relied on: no slot is readable, or the log is corrupt before its end.
    Corrupt,
    /// A state was read.
    Valid,
}

/// The records at the start of the log that share one generation. The log is overwritten from its start, so this is the
/// newest generation in it.
struct ReplayedLog {
    generation: u64,
    /// The state of the last record.
    state: DurableState,
    size: u64,
    records: u64,
    /// A valid record follows an invalid one.
    is_corrupt: bool,
}

/// Why a store can't be opened.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    #[error("no data folder is set")]
    NoDataFolder,
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("{file} has format {found}, and this program knows {FORMAT_VERSION} and older")]
    NewerFormat { file: &'static str, found: u32 },
}

/// Reads and writes a control node's data folder.
pub struct Store {
    env: Env,
    disk: Rc<dyn Disk>,
    /// The generation of the newest slot; 0 before the first.
    generation: u64,
    /// Where the next log record is written, in bytes from the start of the file.
    log_end: u64,
    max_log_bytes: u64,
    /// The files hold nothing that can be relied on: the next save empties the log and writes a slot.
    must_reset: bool,
}

impl Store {
    /// Opens the data folder and reads the newest state. The log is limited to `max_log_bytes`, or to a few records if
    /// those are larger.
    pub async fn open(env: &Env, max_log_bytes: u64) -> Result<(Self, DurableState, DiskContent), StoreError> {
        let disk = env.disk().ok_or(StoreError::NoDataFolder)?;
        let mut newest: Option<(u64, DurableState)> = None;
        let mut has_data = false;
        for file in SLOT_FILES {
            let Some(data) = disk.read(file).await? else { continue };
            has_data |= !data.is_empty();
            match decode(&data) {
                Ok(Some((generation, state, _))) if newest.as_ref().is_none_or(|newest| generation > newest.0) => {
                    newest = Some((generation, state))
                }
                Ok(_) => {}
                Err(found) => return Err(StoreError::NewerFormat { file, found }),
            }
        }
        let log = disk.read(LOG_FILE).await?;
        has_data |= log.as_ref().is_some_and(|l| !l.is_empty());
        let mut store = Self { env: env.clone(), disk, generation: 0, log_end: 0, max_log_bytes, must_reset: false };
        let Some((generation, state)) = newest else {
            store.must_reset = true;
            return Ok((
                store,
                DurableState::default(),
                if has_data { DiskContent::Corrupt } else { DiskContent::Empty },
            ));
        };
        let log = store.replay_log(log.as_deref().unwrap_or_default())?;
        let (state, records) = match log {
            // The newest slot may be corrupt; its log starts with the same state, so nothing is lost.
            Some(l) if l.generation >= generation => {
                if l.is_corrupt {
                    store.must_reset = true;
                    store.generation = l.generation;
                    return Ok((store, DurableState::default(), DiskContent::Corrupt));
                }
                store.generation = l.generation;
                store.log_end = l.size;
                (l.state, l.records)
            }
            _ => {
                store.generation = generation;
                (state, 0)
            }
        };
        env.log(Component::Disk, format!("read slot generation {} and {records} log records", store.generation));
        Ok((store, state, DiskContent::Valid))
    }

    /// Reads the log's records of its newest generation; `None` if there is no valid record.
    fn replay_log(&self, log: &[u8]) -> Result<Option<ReplayedLog>, StoreError> {
        let newer = |found| StoreError::NewerFormat { file: LOG_FILE, found };
        let mut out: Option<ReplayedLog> = None;
        let mut at = 0;
        while let Some((generation, state, size)) = decode(&log[at..]).map_err(newer)? {
            if out.as_ref().is_some_and(|o| o.generation != generation) {
                return Ok(out);
            }
            at += size;
            let records = out.map_or(1, |o| o.records + 1);
            out = Some(ReplayedLog { generation, state, size: at as u64, records, is_corrupt: false });
        }
        // A crash can only cut off the last record; a valid record after an invalid one means corruption.
        if let Some(o) = &mut out {
            for i in at + 1..log.len().saturating_sub(HEADER_BYTES) {
                if matches!(decode(&log[i..]), Ok(Some((t, _, _))) if t == o.generation) {
                    o.is_corrupt = true;
                    break;
                }
            }
        }
        Ok(out)
    }

    /// Writes and syncs a state; votes and acknowledgements that depend on it may be sent only afterwards.
    pub async fn save(&mut self, state: &DurableState) -> io::Result<()> {
        let data = encode_data(state);
        let size = (HEADER_BYTES + data.len()) as u64;
        // The log has room for a few records even if they are large; otherwise each state would be written twice.
        let max_log_bytes = self.max_log_bytes.max(size * MIN_LOG_RECORDS);
        let full = self.log_end + size > max_log_bytes || self.must_reset || self.generation == 0;
        if full {
            let generation = self.generation + 1;
            if self.must_reset {
                // Generations restart on a disk that can't be read; an old log record must not be mistaken for a newer
                // one.
                self.disk.write(LOG_FILE, Vec::new()).await?;
            }
            self.disk.write(SLOT_FILES[generation as usize % 2], with_header(generation, &data)).await?;
            self.generation = generation;
            self.must_reset = false;
            // The log starts with the slot's state, so that a slot that becomes corrupt is detected and recovered.
            self.log_end = 0;
        }
        match self.disk.append(LOG_FILE, self.log_end, with_header(self.generation, &data)).await {
            Ok(()) => self.log_end += size,
            // The slot already holds the state; only the copy in the log did not fit.
            Err(e) if full && e.kind() == io::ErrorKind::StorageFull => {}
            Err(e) => return Err(e),
        }
        Ok(())
    }

    /// Writes and syncs a state. Returns `false` if the disk is full; then the previous state is still in force. Any
    /// other error aborts the process, because it is unknown what the disk holds.
    pub async fn save_or_abort(&mut self, state: &DurableState) -> bool {
        match self.save(state).await {
            Ok(()) => true,
            Err(e) if e.kind() == io::ErrorKind::StorageFull => {
                self.env.log(Component::Disk, "the disk is full; the state is not saved, so nothing new is taken");
                false
            }
            Err(e) => {
                self.env.abort_process(&format!("sync failed: {e}"));
                futures::future::pending().await
            }
        }
    }
}
