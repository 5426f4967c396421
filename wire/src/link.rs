use std::{cell::RefCell, collections::VecDeque, future::poll_fn, io, pin::Pin, rc::Rc, task::Poll};

use base::{
    bell::Bell,
    seam::{Env, Job, Stream},
};
use hyper::rt::ReadBuf;
use prost::Message;

use crate::{Body, Frame};

/// The largest frame a link carries.
pub const MOST: usize = 1 << 22;
/// How many frames may wait to leave.
const INBOX: usize = 1024;

/// Why a link ended.
#[derive(Debug, thiserror::Error)]
pub enum Broken {
    #[error("the peer closed")]
    Closed,
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("corrupt frame")]
    Corrupt,
}

type Shared = Rc<RefCell<Box<dyn Stream>>>;

/// The receiving half of a link.
pub struct In {
    io: Shared,
    buf: Vec<u8>,
}

/// The sending half of a link; cheap to clone, never waits.
#[derive(Clone)]
pub struct Out(Rc<Pipe>);

struct Pipe {
    list: RefCell<VecDeque<Vec<u8>>>,
    bell: Bell,
    shut: std::cell::Cell<bool>,
    _job: RefCell<Option<Job>>,
}

/// Turns a stream into a link.
pub fn open(env: &Env, io: Box<dyn Stream>) -> (In, Out) {
    let io = Rc::new(RefCell::new(io));
    let out = Out(Rc::new(Pipe {
        list: RefCell::default(),
        bell: Bell::default(),
        shut: Default::default(),
        _job: RefCell::default(),
    }));
    let job = env.spawn(pump(io.clone(), Rc::downgrade(&out.0), out.0.bell.clone()));
    *out.0._job.borrow_mut() = Some(job);
    (In { io, buf: Vec::new() }, out)
}

async fn pump(io: Shared, pipe: std::rc::Weak<Pipe>, bell: Bell) {
    loop {
        let seen = bell.count();
        let next = match pipe.upgrade() {
            Some(p) => p.list.borrow_mut().pop_front(),
            None => return,
        };
        let Some(data) = next else {
            bell.after(seen).await;
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

impl Out {
    /// Queues a frame; false when the link has ended or is stuck.
    pub fn send(&self, body: Body) -> bool {
        if self.0.shut.get() || self.0.list.borrow().len() >= INBOX {
            return false;
        }
        let frame = Frame { body: Some(body) };
        let size = frame.encoded_len();
        if size > MOST {
            return false;
        }
        let mut data = Vec::with_capacity(size + 8);
        data.extend_from_slice(&(size as u32).to_le_bytes());
        data.extend_from_slice(&[0; 4]);
        let _ = frame.encode(&mut data);
        let sum = crc32fast::hash(&data[8..]);
        data[4..8].copy_from_slice(&sum.to_le_bytes());
        self.0.list.borrow_mut().push_back(data);
        self.0.bell.ring();
        true
    }
}

impl In {
    /// Waits for the next frame.
    pub async fn next(&mut self) -> Result<Body, Broken> {
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
                return Err(Broken::Closed);
            }
            self.buf.extend_from_slice(&room[..n]);
        }
    }

    fn take(&mut self) -> Result<Option<Body>, Broken> {
        let Some((body, size)) = decode(&self.buf)? else { return Ok(None) };
        self.buf.drain(..size);
        Ok(Some(body))
    }
}

/// Reads one frame off the front of a buffer; `None` when it is not whole yet.
pub fn decode(buf: &[u8]) -> Result<Option<(Body, usize)>, Broken> {
    if buf.len() < 8 {
        return Ok(None);
    }
    let word = |at: usize| u32::from_le_bytes([buf[at], buf[at + 1], buf[at + 2], buf[at + 3]]);
    let size = word(0) as usize;
    if size > MOST {
        return Err(Broken::Corrupt);
    }
    if buf.len() < 8 + size {
        return Ok(None);
    }
    let data = &buf[8..8 + size];
    if crc32fast::hash(data) != word(4) {
        return Err(Broken::Corrupt);
    }
    let frame = Frame::decode(data).map_err(|_| Broken::Corrupt)?;
    Ok(Some((frame.body.ok_or(Broken::Corrupt)?, 8 + size)))
}
