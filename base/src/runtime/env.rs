use std::{
    future::{Future, poll_fn},
    io,
    net::SocketAddr,
    pin::pin,
    rc::Rc,
    task::Poll,
    time::Duration,
};

use futures::{
    FutureExt,
    future::{AbortHandle, Abortable, Either, select},
};

use super::{Component, Disk, Listener, Runtime, Stream};

/// A handle to the world a task runs in; cheap to clone.
#[derive(Clone)]
pub struct Env(Rc<dyn Runtime>);

/// A span ran out before the work was done.
#[derive(Debug, thiserror::Error)]
#[error("the due passed")]
pub struct TimedOut;

/// A started task, ended when this is dropped.
#[must_use = "a job ends when dropped"]
pub struct TaskGuard(Option<AbortHandle>);

impl TaskGuard {
    /// Lets the task run on by itself.
    pub fn detach(mut self) {
        self.0 = None;
    }
}

impl Drop for TaskGuard {
    fn drop(&mut self) {
        if let Some(h) = &self.0 {
            h.abort();
        }
    }
}

impl Env {
    /// Wraps a world.
    pub fn new(world: Rc<dyn Runtime>) -> Self {
        Self(world)
    }

    /// Time since the world's start.
    pub fn now(&self) -> Duration {
        self.0.now()
    }

    /// Waits for a span.
    pub async fn sleep(&self, span: Duration) {
        self.0.sleep(span).await
    }

    /// Lets other tasks run first.
    pub async fn yield_now(&self) {
        let mut was_polled = false;
        poll_fn(|cx| {
            if std::mem::replace(&mut was_polled, true) {
                return Poll::Ready(());
            }
            cx.waker().wake_by_ref();
            Poll::Pending
        })
        .await
    }

    /// Starts a task; it ends with the returned job.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) -> TaskGuard {
        let (hand, reg) = AbortHandle::new_pair();
        self.0.spawn(Box::pin(Abortable::new(task, reg).map(|_| ())));
        TaskGuard(Some(hand))
    }

    /// Runs a future for at most `span`.
    pub async fn timeout<T>(&self, span: Duration, work: impl Future<Output = T>) -> Result<T, TimedOut> {
        let work = pin!(work);
        match select(work, self.0.sleep(span)).await {
            Either::Left((out, _)) => Ok(out),
            Either::Right(_) => Err(TimedOut),
        }
    }

    /// A random number.
    pub fn rand(&self) -> u64 {
        self.0.rand()
    }

    /// A random number below `top`.
    pub fn rand_below(&self, top: u64) -> u64 {
        if top == 0 { 0 } else { self.0.rand() % top }
    }

    /// Binds an address.
    pub async fn listen(&self, addr: SocketAddr) -> io::Result<Rc<dyn Listener>> {
        self.0.listen(addr).await
    }

    /// Opens a stream within `span`.
    pub async fn connect(&self, addr: SocketAddr, span: Duration) -> io::Result<Box<dyn Stream>> {
        match self.timeout(span, self.0.connect(addr)).await {
            Ok(r) => r,
            Err(TimedOut) => Err(io::ErrorKind::TimedOut.into()),
        }
    }

    /// The data folder, if there is one.
    pub fn disk(&self) -> Option<Rc<dyn Disk>> {
        self.0.disk()
    }

    /// Writes a log line under the part's prefix.
    pub fn log(&self, part: Component, text: impl AsRef<str>) {
        self.0.log(part, text.as_ref())
    }

    /// Ends the process, as after a failed sync.
    pub fn abort_process(&self, text: &str) {
        self.0.abort_process(text)
    }
}
