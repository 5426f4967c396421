//! The handle through which tasks use the runtime.

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

/// How often an address in use is tried to listen on.
const MAX_LISTEN_ATTEMPTS: u32 = 5;
/// The pause between two of these attempts.
const LISTEN_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// A handle to the runtime, through which tasks use clock, network, disk and randomness; cheap to clone.
#[derive(Clone)]
pub struct Env(Rc<dyn Runtime>);

/// A timeout passed before the operation was complete.
#[derive(Debug, thiserror::Error)]
#[error("timed out")]
pub struct TimedOut;

/// A spawned task, which is aborted when this is dropped.
#[must_use = "the task is aborted when its guard is dropped"]
pub struct TaskGuard(Option<AbortHandle>);

impl TaskGuard {
    /// Lets the task run to its end without a guard.
    pub fn detach(mut self) {
        self.0 = None;
    }
}

impl Drop for TaskGuard {
    fn drop(&mut self) {
        if let Some(handle) = &self.0 {
            handle.abort();
        }
    }
}

impl Env {
    /// Wraps a runtime.
    pub fn new(runtime: Rc<dyn Runtime>) -> Self {
        Self(runtime)
    }

    /// Monotonic time since some fixed start.
    pub fn now(&self) -> Duration {
        self.0.now()
    }

    /// Waits for a duration.
    pub async fn sleep(&self, duration: Duration) {
        self.0.sleep(duration).await
    }

    /// Yields to the other tasks once.
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

    /// Spawns a task; it is aborted when the returned guard is dropped.
    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) -> TaskGuard {
        let (handle, registration) = AbortHandle::new_pair();
        self.0.spawn(Box::pin(Abortable::new(task, registration).map(|_| ())));
        TaskGuard(Some(handle))
    }

    /// Runs a future for at most `duration`, and drops it then.
    pub async fn timeout<T>(&self, duration: Duration, operation: impl Future<Output = T>) -> Result<T, TimedOut> {
        let operation = pin!(operation);
        match select(operation, self.0.sleep(duration)).await {
            Either::Left((output, _)) => Ok(output),
            Either::Right(_) => Err(TimedOut),
        }
    }

    /// A random number.
    pub fn rand(&self) -> u64 {
        self.0.rand()
    }

    /// A random number below `limit`; 0 if that is 0.
    pub fn rand_below(&self, limit: u64) -> u64 {
        if limit == 0 { 0 } else { self.0.rand() % limit }
    }

    /// Binds an address and listens on it. An address in use is tried again for a while, as the process that held it may
    /// be about to end.
    pub async fn listen(&self, addr: SocketAddr) -> io::Result<Rc<dyn Listener>> {
        let mut attempts = 1;
        loop {
            match self.0.listen(addr).await {
                Err(error) if error.kind() == io::ErrorKind::AddrInUse && attempts < MAX_LISTEN_ATTEMPTS => {
                    self.log(Component::Main, format!("{addr} is in use, attempt {attempts} of {MAX_LISTEN_ATTEMPTS}"));
                    self.sleep(LISTEN_RETRY_INTERVAL).await;
                    attempts += 1;
                }
                result => {
                    let with_address = |error: io::Error| io::Error::new(error.kind(), format!("{addr}: {error}"));
                    return result.map_err(with_address);
                }
            }
        }
    }

    /// Opens a stream to an address; fails with `io::ErrorKind::TimedOut` after `timeout`.
    pub async fn connect(&self, addr: SocketAddr, timeout: Duration) -> io::Result<Box<dyn Stream>> {
        match self.timeout(timeout, self.0.connect(addr)).await {
            Ok(result) => result,
            Err(TimedOut) => Err(io::ErrorKind::TimedOut.into()),
        }
    }

    /// The data folder, if there is one.
    pub fn disk(&self) -> Option<Rc<dyn Disk>> {
        self.0.disk()
    }

    /// Writes a log line with the component's prefix.
    pub fn log(&self, component: Component, text: impl AsRef<str>) {
        self.0.log(component, text.as_ref())
    }

    /// Ends the process after an unrecoverable error, such as a failed sync.
    pub fn abort_process(&self, text: &str) {
        self.0.abort_process(text)
    }
}
