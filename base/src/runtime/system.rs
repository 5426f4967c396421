//! The runtime on a real machine.

use std::{
    cell::Cell,
    io,
    net::SocketAddr,
    path::PathBuf,
    rc::Rc,
    time::{Duration, Instant},
};

use compio::{
    BufResult,
    fs::{File, OpenOptions},
    io::AsyncWriteAtExt,
    net::{TcpListener, TcpStream},
};
use cyper_core::HyperStream;

use super::{Component, Disk, Listener, LocalFuture, Runtime, Stream};

/// The runtime on a real machine: the compio runtime, TCP and the file system.
pub struct SystemRuntime {
    start: Instant,
    seed: Cell<u64>,
    disk: Option<Rc<DataFolder>>,
}

impl SystemRuntime {
    /// A runtime with an optional data folder, which is created if it does not exist.
    pub fn new(data_folder: Option<PathBuf>) -> io::Result<Rc<Self>> {
        use std::hash::{BuildHasher, Hasher};
        let seed = std::collections::hash_map::RandomState::new().build_hasher().finish() | 1;
        if let Some(path) = &data_folder {
            std::fs::create_dir_all(path)?;
        }
        Ok(Rc::new(Self {
            start: Instant::now(),
            seed: Cell::new(seed),
            disk: data_folder.map(|path| Rc::new(DataFolder { path })),
        }))
    }
}

impl Runtime for SystemRuntime {
    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    fn sleep(&self, duration: Duration) -> LocalFuture<()> {
        Box::pin(compio::time::sleep(duration))
    }

    fn spawn(&self, task: LocalFuture<()>) {
        compio::runtime::spawn(task).detach();
    }

    fn rand(&self) -> u64 {
        super::super::position::next_random(&self.seed)
    }

    fn listen(&self, addr: SocketAddr) -> LocalFuture<io::Result<Rc<dyn Listener>>> {
        Box::pin(async move {
            let listener = TcpListener::bind(addr).await?;
            let addr = listener.local_addr()?;
            Ok(Rc::new(SystemListener { listener: Rc::new(listener), addr }) as Rc<dyn Listener>)
        })
    }

    fn connect(&self, addr: SocketAddr) -> LocalFuture<io::Result<Box<dyn Stream>>> {
        Box::pin(async move { into_stream(TcpStream::connect(addr).await?) })
    }

    fn disk(&self) -> Option<Rc<dyn Disk>> {
        self.disk.clone().map(|d| d as Rc<dyn Disk>)
    }

    fn log(&self, component: Component, text: &str) {
        spdlog::info!("{}: {}", component.prefix(), text);
    }

    fn abort_process(&self, text: &str) {
        spdlog::critical!("main: {text}");
        spdlog::default_logger().flush();
        std::process::exit(70);
    }
}

fn into_stream(socket: TcpStream) -> io::Result<Box<dyn Stream>> {
    socket.set_nodelay(true)?;
    Ok(Box::new(HyperStream::new_plain(socket)))
}

struct SystemListener {
    listener: Rc<TcpListener>,
    addr: SocketAddr,
}

impl Listener for SystemListener {
    fn accept(&self) -> LocalFuture<io::Result<Box<dyn Stream>>> {
        let listener = self.listener.clone();
        Box::pin(async move { into_stream(listener.accept().await?.0) })
    }

    fn addr(&self) -> SocketAddr {
        self.addr
    }
}

/// The data folder of the process.
struct DataFolder {
    path: PathBuf,
}

/// Adds the path of the file or folder to an error.
fn with_path(path: PathBuf) -> impl FnOnce(io::Error) -> io::Error {
    move |error| io::Error::new(error.kind(), format!("{}: {error}", path.display()))
}

impl DataFolder {
    /// Syncs the folder itself, which makes the entry of a new file durable.
    async fn sync_folder(path: PathBuf) -> io::Result<()> {
        File::open(path).await?.sync_all().await
    }
}

impl Disk for DataFolder {
    fn read(&self, name: &str) -> LocalFuture<io::Result<Option<Vec<u8>>>> {
        let path = self.path.join(name);
        let named = path.clone();
        Box::pin(async move {
            match compio::fs::read(path).await {
                Ok(data) => Ok(Some(data)),
                Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
                Err(e) => Err(with_path(named)(e)),
            }
        })
    }

    fn write(&self, name: &str, data: Vec<u8>) -> LocalFuture<io::Result<()>> {
        let (path, folder) = (self.path.join(name), self.path.clone());
        Box::pin(async move {
            let mut file = OpenOptions::new()
                .write(true)
                .create(true)
                .truncate(true)
                .open(&path)
                .await
                .map_err(with_path(path))?;
            let BufResult(result, _) = file.write_all_at(data, 0).await;
            result?;
            file.sync_all().await?;
            Self::sync_folder(folder).await
        })
    }

    fn append(&self, name: &str, offset: u64, data: Vec<u8>) -> LocalFuture<io::Result<()>> {
        let (path, folder) = (self.path.join(name), self.path.clone());
        Box::pin(async move {
            let mut file = OpenOptions::new().write(true).create(true).open(&path).await.map_err(with_path(path))?;
            let BufResult(result, _) = file.write_all_at(data, offset).await;
            result?;
            file.sync_all().await?;
            if offset == 0 { Self::sync_folder(folder).await } else { Ok(()) }
        })
    }
}
