use std::{future::Future, io, net::SocketAddr, pin::Pin, rc::Rc, time::Duration};

use super::Component;

/// A boxed future that stays on its thread.
pub type LocalFuture<T> = Pin<Box<dyn Future<Output = T>>>;

/// A duplex byte stream that HTTP and peer links run over.
pub trait Stream: hyper::rt::Read + hyper::rt::Write + Unpin {}

impl<T: hyper::rt::Read + hyper::rt::Write + Unpin> Stream for T {}

/// A bound address that yields streams.
pub trait Listener {
    /// Waits for the next stream.
    fn accept(&self) -> LocalFuture<io::Result<Box<dyn Stream>>>;
    /// The address that was bound.
    fn addr(&self) -> SocketAddr;
}

/// One data folder. A call that returned `Ok` has synced what it wrote.
pub trait Disk {
    /// Reads a whole file; `None` when there is none.
    fn read(&self, name: &str) -> LocalFuture<io::Result<Option<Vec<u8>>>>;
    /// Replaces a whole file and syncs it.
    fn write(&self, name: &str, data: Vec<u8>) -> LocalFuture<io::Result<()>>;
    /// Writes at an offset and syncs.
    fn append(&self, name: &str, at: u64, data: Vec<u8>) -> LocalFuture<io::Result<()>>;
}

/// What a process runs in: the real machine, or a simulated one.
pub trait Runtime {
    /// Time since some fixed start; never goes back.
    fn now(&self) -> Duration;
    /// Waits for a span.
    fn sleep(&self, span: Duration) -> LocalFuture<()>;
    /// Starts a task on this thread.
    fn spawn(&self, task: LocalFuture<()>);
    /// A random number.
    fn rand(&self) -> u64;
    /// Binds an address.
    fn listen(&self, addr: SocketAddr) -> LocalFuture<io::Result<Rc<dyn Listener>>>;
    /// Opens a stream.
    fn connect(&self, addr: SocketAddr) -> LocalFuture<io::Result<Box<dyn Stream>>>;
    /// The data folder, if the machine has one.
    fn disk(&self) -> Option<Rc<dyn Disk>>;
    /// Writes a log line.
    fn log(&self, part: Component, text: &str);
    /// Ends the process, as after a failed sync.
    fn abort_process(&self, text: &str);
}
