//! The traits of a runtime.

use std::{future::Future, io, net::SocketAddr, pin::Pin, rc::Rc, time::Duration};

use super::Component;

/// A boxed future that is not `Send`: it stays on its thread.
pub type LocalFuture<T> = Pin<Box<dyn Future<Output = T>>>;

/// A duplex byte stream for HTTP connections and for the links between processes.
pub trait Stream: hyper::rt::Read + hyper::rt::Write + Unpin {}

impl<T: hyper::rt::Read + hyper::rt::Write + Unpin> Stream for T {}

/// A bound address that accepts streams.
pub trait Listener {
    /// Waits for the next stream.
    fn accept(&self) -> LocalFuture<io::Result<Box<dyn Stream>>>;
    /// The bound address.
    fn addr(&self) -> SocketAddr;
}

/// A data folder. What a call has written is synced to disk when it returns `Ok`.
pub trait Disk {
    /// Reads a whole file; `None` if it does not exist.
    fn read(&self, name: &str) -> LocalFuture<io::Result<Option<Vec<u8>>>>;
    /// Replaces the content of a file, or creates it, and syncs it.
    fn write(&self, name: &str, data: Vec<u8>) -> LocalFuture<io::Result<()>>;
    /// Writes to a file at an offset in bytes, creating it if necessary, and syncs it.
    fn append(&self, name: &str, offset: u64, data: Vec<u8>) -> LocalFuture<io::Result<()>>;
}

/// The environment of a process: a real machine or a simulated one.
pub trait Runtime {
    /// Monotonic time since some fixed start.
    fn now(&self) -> Duration;
    /// Waits for a duration.
    fn sleep(&self, duration: Duration) -> LocalFuture<()>;
    /// Spawns a task on this thread.
    fn spawn(&self, task: LocalFuture<()>);
    /// A random number.
    fn rand(&self) -> u64;
    /// Binds an address and listens on it.
    fn listen(&self, addr: SocketAddr) -> LocalFuture<io::Result<Rc<dyn Listener>>>;
    /// Opens a stream to an address.
    fn connect(&self, addr: SocketAddr) -> LocalFuture<io::Result<Box<dyn Stream>>>;
    /// The data folder, if the machine has one.
    fn disk(&self) -> Option<Rc<dyn Disk>>;
    /// Writes a log line with the component's prefix.
    fn log(&self, component: Component, text: &str);
    /// Ends the process after an unrecoverable error, such as a failed sync.
    fn abort_process(&self, text: &str);
}
