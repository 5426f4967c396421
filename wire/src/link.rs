//! Links between the project's own processes: frames with a checksum over a byte stream.

use std::{
    cell::{Cell, OnceCell, RefCell},
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
    pieces::{Assembly, MAX_PIECE_BYTES, split},
};

/// The largest frame that a link carries.
pub const MAX_FRAME_BYTES: usize = 1 << 22;
/// The queue lengths from which no more frames are queued: for small frames, and for pieces of large ones.
const MAX_QUEUED_FRAMES: usize = 1024;
/// The header of a frame: the size of its content and the content's checksum, 4 bytes each, little-endian.
const HEADER_BYTES: usize = 8;
/// The size of the buffer for one read from the stream.
const READ_CHUNK_BYTES: usize = 16384;

/// Why a link ended.
#[derive(Debug, thiserror::Error)]
pub enum LinkError {
    /// The peer closed the stream, or sent nothing for too long.
    #[error("the peer closed the link")]
    Closed,
    /// Reading from the stream failed.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// A frame has a wrong checksum or an invalid size or content.
    #[error("corrupt frame")]
    Corrupt,
}

type SharedStream = Rc<RefCell<Box<dyn Stream>>>;

/// The receiving half of a link.
pub struct LinkReader {
    stream: SharedStream,
    /// Bytes that have arrived and are not yet decoded.
    buf: Vec<u8>,
    /// The pieces of a large frame that have arrived so far.
    pieces: Assembly,
    /// Whether the peer accepts large frames in pieces, from its [`Body::Hello`].
    accepts_pieces: Rc<Cell<bool>>,
}

/// The sending half of a link; cheap to clone. Sending queues a frame and never waits. Large frames are sent in pieces,
/// and small frames go between them, so that heartbeats are not delayed by large messages.
#[derive(Clone)]
pub struct LinkWriter(Rc<SendQueue>);

/// The frames of a link that wait to be written.
struct SendQueue {
    /// Small frames, in the order in which they were queued.
    urgent: RefCell<VecDeque<Rc<[u8]>>>,
    /// Pieces of large frames, and all snapshots and their deltas, in the order in which they were queued.
    bulk: RefCell<VecDeque<Rc<[u8]>>>,
    accepts_pieces: Rc<Cell<bool>>,
    queue_changed: Notify,
    /// The stream has failed: no more frames can be sent.
    closed: Cell<bool>,
    _writer_task: RefCell<Option<TaskGuard>>,
}

impl SendQueue {
    /// Wakes the task that writes to the stream. Returns `true`, for use in a chain of conditions.
    fn wake(&self) -> bool {
        self.queue_changed.notify_waiters();
        true
    }

    /// Takes the next frame or piece to write; small frames come first.
    fn next(&self) -> Option<Rc<[u8]>> {
        let urgent = self.urgent.borrow_mut().pop_front();
        urgent.or_else(|| self.bulk.borrow_mut().pop_front())
    }
}

/// Turns a stream into a link, with a task that writes the queued frames.
pub fn open(env: &Env, stream: Box<dyn Stream>) -> (LinkReader, LinkWriter) {
    let stream = Rc::new(RefCell::new(stream));
    let accepts_pieces = Rc::new(Cell::new(false));
    let writer = LinkWriter(Rc::new(SendQueue {
        urgent: RefCell::default(),
        bulk: RefCell::default(),
        accepts_pieces: accepts_pieces.clone(),
        queue_changed: Notify::default(),
        closed: Cell::default(),
        _writer_task: RefCell::default(),
    }));
    let task = env.spawn(write_queued(stream.clone(), Rc::downgrade(&writer.0), writer.0.queue_changed.clone()));
    *writer.0._writer_task.borrow_mut() = Some(task);
    (LinkReader { stream, buf: Vec::new(), pieces: Assembly::default(), accepts_pieces }, writer)
}

/// Writes queued frames to the stream until the link fails or all its writers are dropped.
async fn write_queued(stream: SharedStream, queue: std::rc::Weak<SendQueue>, queue_changed: Notify) {
    loop {
        let seen = queue_changed.generation();
        let next = match queue.upgrade() {
            Some(queue) => queue.next(),
            None => return,
        };
        let Some(data) = next else {
            queue_changed.changed_since(seen).await;
            continue;
        };
        if write(&stream, &data).await.is_err() {
            if let Some(queue) = queue.upgrade() {
                queue.closed.set(true);
            }
            return;
        }
    }
}

async fn write(stream: &SharedStream, data: &[u8]) -> io::Result<()> {
    let mut written = 0;
    while written < data.len() {
        let count = poll_fn(|cx| Pin::new(&mut **stream.borrow_mut()).poll_write(cx, &data[written..])).await?;
        if count == 0 {
            return Err(io::ErrorKind::WriteZero.into());
        }
        written += count;
    }
    poll_fn(|cx| Pin::new(&mut **stream.borrow_mut()).poll_flush(cx)).await
}

impl LinkWriter {
    /// Queues a frame; false if it is too large, the link has failed, or too many frames are queued already.
    pub fn send(&self, body: Body) -> bool {
        !self.0.closed.get() && EncodedFrame::new(body).is_some_and(|frame| self.send_encoded(&frame))
    }

    /// Like [`LinkWriter::send`], for a frame that goes over several links.
    pub fn send_encoded(&self, frame: &EncodedFrame) -> bool {
        if self.0.closed.get() {
            return false;
        }
        if self.0.accepts_pieces.get() && frame.data.len() > MAX_PIECE_BYTES {
            enqueue(&self.0.bulk, frame.pieces()) && self.0.wake()
        } else if frame.in_order {
            enqueue(&self.0.bulk, [frame.data.clone()]) && self.0.wake()
        } else {
            enqueue(&self.0.urgent, [frame.data.clone()]) && self.0.wake()
        }
    }
}

/// A frame as it is written to links. It is encoded, compressed and split once, for however many links it is sent over.
pub struct EncodedFrame {
    data: Rc<[u8]>,
    pieces: OnceCell<Vec<Rc<[u8]>>>,
    /// A delta builds on the snapshot before it, so snapshots and deltas must not overtake each other.
    in_order: bool,
}

impl EncodedFrame {
    /// Encodes a frame; `None` if it is too large.
    pub fn new(body: Body) -> Option<Self> {
        let in_order = matches!(body, Body::FullSnapshot(_) | Body::SnapshotDelta(_));
        Some(Self { data: encode(body)?.into(), pieces: OnceCell::new(), in_order })
    }

    /// The frames that carry its pieces.
    fn pieces(&self) -> impl Iterator<Item = Rc<[u8]>> {
        let make = || split(&self.data).into_iter().filter_map(|piece| Some(encode(Body::Piece(piece))?.into()));
        self.pieces.get_or_init(|| make().collect()).iter().cloned()
    }
}

/// Appends frames to a queue; false if too many are queued already.
fn enqueue(queue: &RefCell<VecDeque<Rc<[u8]>>>, frames: impl IntoIterator<Item = Rc<[u8]>>) -> bool {
    let mut queue = queue.borrow_mut();
    let has_room = queue.len() < MAX_QUEUED_FRAMES;
    if has_room {
        queue.extend(frames);
    }
    has_room
}

/// Encodes a frame with its header; `None` if it is too large.
fn encode(body: Body) -> Option<Vec<u8>> {
    let frame = Frame { body: Some(body) };
    let size = frame.encoded_len();
    if size > MAX_FRAME_BYTES {
        return None;
    }
    let mut data = Vec::with_capacity(size + HEADER_BYTES);
    data.extend_from_slice(&(size as u32).to_le_bytes());
    data.extend_from_slice(&[0; 4]);
    let _ = frame.encode(&mut data);
    let checksum = crc32fast::hash(&data[HEADER_BYTES..]);
    data[4..HEADER_BYTES].copy_from_slice(&checksum.to_le_bytes());
    Some(data)
}

impl LinkReader {
    /// Waits for the next frame. A call may be cancelled without losing bytes.
    pub async fn next(&mut self) -> Result<Body, LinkError> {
        loop {
            if let Some(body) = self.take_frame()? {
                return Ok(body);
            }
            let mut chunk = [0u8; READ_CHUNK_BYTES];
            let count = poll_fn(|cx| {
                let mut buf = ReadBuf::new(&mut chunk);
                match Pin::new(&mut **self.stream.borrow_mut()).poll_read(cx, buf.unfilled()) {
                    Poll::Ready(Ok(())) => Poll::Ready(Ok(buf.filled().len())),
                    Poll::Ready(Err(e)) => Poll::Ready(Err(e)),
                    Poll::Pending => Poll::Pending,
                }
            })
            .await?;
            if count == 0 {
                return Err(LinkError::Closed);
            }
            self.buf.extend_from_slice(&chunk[..count]);
        }
    }

    /// Takes the next complete frame from the bytes that have arrived; reassembles large frames from their pieces.
    fn take_frame(&mut self) -> Result<Option<Body>, LinkError> {
        while let Some((body, size)) = decode(&self.buf)? {
            self.buf.drain(..size);
            match body {
                Body::Piece(piece) => match self.pieces.add(piece)? {
                    Some(body) => return Ok(Some(body)),
                    None => continue,
                },
                Body::Hello(hello) => {
                    self.accepts_pieces.set(hello.accepts_pieces);
                    return Ok(Some(Body::Hello(hello)));
                }
                body => return Ok(Some(body)),
            }
        }
        Ok(None)
    }
}

/// Decodes the frame at the start of a buffer and returns its content and its size with the header; `None` if it is not
/// yet complete. Fails if the frame is too large or its checksum is wrong.
pub fn decode(buf: &[u8]) -> Result<Option<(Body, usize)>, LinkError> {
    if buf.len() < HEADER_BYTES {
        return Ok(None);
    }
    let read_u32 = |at: usize| u32::from_le_bytes([buf[at], buf[at + 1], buf[at + 2], buf[at + 3]]);
    let size = read_u32(0) as usize;
    if size > MAX_FRAME_BYTES {
        return Err(LinkError::Corrupt);
    }
    if buf.len() < HEADER_BYTES + size {
        return Ok(None);
    }
    let data = &buf[HEADER_BYTES..HEADER_BYTES + size];
    if crc32fast::hash(data) != read_u32(4) {
        return Err(LinkError::Corrupt);
    }
    let frame = Frame::decode(data).map_err(|_| LinkError::Corrupt)?;
    Ok(Some((frame.body.ok_or(LinkError::Corrupt)?, HEADER_BYTES + size)))
}
