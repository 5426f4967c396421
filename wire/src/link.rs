//! Links between the project's own processes: frames with a checksum over a stream.

use std::{
    cell::{Cell, RefCell},
    collections::VecDeque,
    future::poll_fn,
    io,
    pin::Pin,
    rc::Rc,
    task::Poll,
};

use base::{
    notify::Notify,
    runtime::{Env, Stream, TaskGuard},
};
use hyper::rt::ReadBuf;
use prost::Message;

use crate::{
    Body, Frame,
    pieces::{Assembly, PIECE, cut},
};

/// The largest frame a link carries.
pub const MAX_FRAME_BYTES: usize = 1 << 22;
/// How many small frames, and how many pieces of large ones, may wait to leave.
const INBOX: usize = 1024;
/// The bytes before a frame's content: its size and its checksum.
const HEAD: usize = 8;

/// Why a link ended.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    #[error("the peer closed")]
    Closed,
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("corrupt frame")]
    Corrupt,
}

type Shared = Rc<RefCell<Box<dyn Stream>>>;

/// The receiving half of a link.
pub struct LinkReader {
    io: Shared,
    buf: Vec<u8>,
    /// The pieces of a large frame that came so far.
    pieces: Assembly,
    /// What the other side said that it takes.
    takes_pieces: Rc<Cell<bool>>,
}

/// The sending half of a link; cheap to clone, never waits. Large frames are sent in pieces, and whatever is small goes
/// between them, so that heartbeats never wait for payload.
#[derive(Clone)]
pub struct LinkWriter(Rc<Pipe>);

struct Pipe {
    /// Small frames, in the order in which they were queued.
    urgent: RefCell<VecDeque<Vec<u8>>>,
    /// Large frames and news, in pieces, in the order in which they were queued.
    bulk: RefCell<VecDeque<Vec<u8>>>,
    takes_pieces: Rc<Cell<bool>>,
    bell: Notify,
    shut: Cell<bool>,
    _job: RefCell<Option<TaskGuard>>,
}

impl Pipe {
    fn wake(&self) -> bool {
        self.bell.notify_waiters();
        true
    }

    fn next(&self) -> Option<Vec<u8>> {
        let urgent = self.urgent.borrow_mut().pop_front();
        urgent.or_else(|| self.bulk.borrow_mut().pop_front())
    }
}

/// Turns a stream into a link.
pub fn open(env: &Env, io: Box<dyn Stream>) -> (LinkReader, LinkWriter) {
    let io = Rc::new(RefCell::new(io));
    let takes_pieces = Rc::new(Cell::new(false));
    let out = LinkWriter(Rc::new(Pipe {
        urgent: RefCell::default(),
        bulk: RefCell::default(),
        takes_pieces: takes_pieces.clone(),
        bell: Notify::default(),
        shut: Cell::default(),
        _job: RefCell::default(),
    }));
    let job = env.spawn(pump(io.clone(), Rc::downgrade(&out.0), out.0.bell.clone()));
    *out.0._job.borrow_mut() = Some(job);
    (LinkReader { io, buf: Vec::new(), pieces: Assembly::default(), takes_pieces }, out)
}

async fn pump(io: Shared, pipe: std::rc::Weak<Pipe>, bell: Notify) {
    loop {
        let seen = bell.generation();
        let next = match pipe.upgrade() {
            Some(p) => p.next(),
            None => return,
        };
        let Some(data) = next else {
            bell.changed_since(seen).await;
            continue;
        };
        if write(&io, &data).await.is_err() {
            if let Some(p) = pipe.upgrade() {
                p.shut.set(true);
            }
            return;
        }
    }
}

async fn write(io: &Shared, data: &[u8]) -> io::Result<()> {
    let mut at = 0;
    while at < data.len() {
        let n = poll_fn(|cx| Pin::new(&mut **io.borrow_mut()).poll_write(cx, &data[at..])).await?;
        if n == 0 {
            return Err(io::ErrorKind::WriteZero.into());
        }
        at += n;
    }
    poll_fn(|cx| Pin::new(&mut **io.borrow_mut()).poll_flush(cx)).await
}

impl LinkWriter {
    /// Queues a frame; false when the link has ended or is stuck.
    pub fn send(&self, body: Body) -> bool {
        if self.0.shut.get() {
            return false;
        }
        // News builds on the news before it, so that none may overtake another.
        let in_order = matches!(body, Body::FullSnapshot(_) | Body::SnapshotDelta(_));
        let Some(data) = encode(body) else { return false };
        if self.0.takes_pieces.get() && data.len() > PIECE {
            let pieces = cut(&data).into_iter().filter_map(|piece| encode(Body::Piece(piece)));
            queue(&self.0.bulk, pieces) && self.0.wake()
        } else if in_order {
            queue(&self.0.bulk, [data]) && self.0.wake()
        } else {
            queue(&self.0.urgent, [data]) && self.0.wake()
        }
    }
}

/// Queues frames behind others; false where too many wait already.
fn queue(list: &RefCell<VecDeque<Vec<u8>>>, frames: impl IntoIterator<Item = Vec<u8>>) -> bool {
    let mut list = list.borrow_mut();
    let has_room = list.len() < INBOX;
    if has_room {
        list.extend(frames);
    }
    has_room
}

/// A frame as it is sent; `None` for one that is too large.
fn encode(body: Body) -> Option<Vec<u8>> {
    let frame = Frame { body: Some(body) };
    let size = frame.encoded_len();
    if size > MAX_FRAME_BYTES {
        return None;
    }
    let mut data = Vec::with_capacity(size + HEAD);
    data.extend_from_slice(&(size as u32).to_le_bytes());
    data.extend_from_slice(&[0; 4]);
    let _ = frame.encode(&mut data);
    let sum = crc32fast::hash(&data[HEAD..]);
    data[4..HEAD].copy_from_slice(&sum.to_le_bytes());
    Some(data)
}

impl LinkReader {
    /// Waits for the next frame.
    pub async fn next(&mut self) -> Result<Body, LinkError> {
        loop {
            if let Some(body) = self.take()? {
                return Ok(body);
            }
            let mut room = [0u8; 16384];
            let n = poll_fn(|cx| {
                let mut buf = ReadBuf::new(&mut room);
                match Pin::new(&mut **self.io.borrow_mut()).poll_read(cx, buf.unfilled()) {
                    Poll::Ready(Ok(())) => Poll::Ready(Ok(buf.filled().len())),
                    Poll::Ready(Err(e)) => Poll::Ready(Err(e)),
                    Poll::Pending => Poll::Pending,
                }
            })
            .await?;
            if n == 0 {
                return Err(LinkError::Closed);
            }
            self.buf.extend_from_slice(&room[..n]);
        }
    }

    /// The next whole frame among the bytes that came; pieces of a large one are put together.
    fn take(&mut self) -> Result<Option<Body>, LinkError> {
        while let Some((body, size)) = decode(&self.buf)? {
            self.buf.drain(..size);
            match body {
                Body::Piece(piece) => match self.pieces.add(piece)? {
                    Some(body) => return Ok(Some(body)),
                    None => continue,
                },
                Body::Hello(hello) => {
                    self.takes_pieces.set(hello.pieces);
                    return Ok(Some(Body::Hello(hello)));
                }
                body => return Ok(Some(body)),
            }
        }
        Ok(None)
    }
}

/// Reads one frame off the front of a buffer; `None` when it is not whole yet.
pub fn decode(buf: &[u8]) -> Result<Option<(Body, usize)>, LinkError> {
    if buf.len() < HEAD {
        return Ok(None);
    }
    let word = |at: usize| u32::from_le_bytes([buf[at], buf[at + 1], buf[at + 2], buf[at + 3]]);
    let size = word(0) as usize;
    if size > MAX_FRAME_BYTES {
        return Err(LinkError::Corrupt);
    }
    if buf.len() < HEAD + size {
        return Ok(None);
    }
    let data = &buf[HEAD..HEAD + size];
    if crc32fast::hash(data) != word(4) {
        return Err(LinkError::Corrupt);
    }
    let frame = Frame::decode(data).map_err(|_| LinkError::Corrupt)?;
    Ok(Some((frame.body.ok_or(LinkError::Corrupt)?, HEAD + size)))
}
