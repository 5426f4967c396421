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

/// The real machine.
pub struct SystemRuntime {
    start: Instant,
    seed: Cell<u64>,
    disk: Option<Rc<Folder>>,
}

impl SystemRuntime {
    /// A world with an optional data folder.
    pub fn new(data: Option<PathBuf>) -> io::Result<Rc<Self>> {
        use std::hash::{BuildHasher, Hasher};
        let seed = std::collections::hash_map::RandomState::new().build_hasher().finish() | 1;
        if let Some(p) = &data {
            std::fs::create_dir_all(p)?;
        }
        Ok(Rc::new(Self {
            start: Instant::now(),
            seed: Cell::new(seed),
            disk: data.map(|path| Rc::new(Folder { path })),
        }))
    }
}

impl Runtime for SystemRuntime {
    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    fn sleep(&self, span: Duration) -> LocalFuture<()> {
        Box::pin(compio::time::sleep(span))
    }

    fn spawn(&self, task: LocalFuture<()>) {
        compio::runtime::spawn(task).detach();
    }

    fn rand(&self) -> u64 {
        super::super::position::next_random(&self.seed)
    }

    fn listen(&self, addr: SocketAddr) -> LocalFuture<io::Result<Rc<dyn Listener>>> {
        Box::pin(async move {
            let sock = TcpListener::bind(addr).await?;
            let addr = sock.local_addr()?;
            Ok(Rc::new(Door { sock: Rc::new(sock), addr }) as Rc<dyn Listener>)
        })
    }

    fn connect(&self, addr: SocketAddr) -> LocalFuture<io::Result<Box<dyn Stream>>> {
        Box::pin(async move { wrap(TcpStream::connect(addr).await?) })
    }

    fn disk(&self) -> Option<Rc<dyn Disk>> {
        self.disk.clone().map(|d| d as Rc<dyn Disk>)
    }

    fn log(&self, part: Component, text: &str) {
        spdlog::info!("{}: {}", part.prefix(), text);
    }

    fn abort_process(&self, text: &str) {
        spdlog::critical!("main: {text}");
        spdlog::default_logger().flush();
        std::process::exit(70);
    }
}

fn wrap(sock: TcpStream) -> io::Result<Box<dyn Stream>> {
    sock.set_nodelay(true)?;
    Ok(Box::new(HyperStream::new_plain(sock)))
}

struct Door {
    sock: Rc<TcpListener>,
    addr: SocketAddr,
}

impl Listener for Door {
    fn accept(&self) -> LocalFuture<io::Result<Box<dyn Stream>>> {
        let sock = self.sock.clone();
        Box::pin(async move { wrap(sock.accept().await?.0) })
    }

    fn addr(&self) -> SocketAddr {
        self.addr
    }
}

struct Folder {
    path: PathBuf,
}

impl Folder {
    async fn sync_dir(path: PathBuf) -> io::Result<()> {
        File::open(path).await?.sync_all().await
    }
}

impl Disk for Folder {
    fn read(&self, name: &str) -> LocalFuture<io::Result<Option<Vec<u8>>>> {
        let path = self.path.join(name);
        Box::pin(async move {
            match compio::fs::read(path).await {
                Ok(b) => Ok(Some(b)),
                Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(None),
                Err(e) => Err(e),
            }
        })
    }

    fn write(&self, name: &str, data: Vec<u8>) -> LocalFuture<io::Result<()>> {
        let (path, dir) = (self.path.join(name), self.path.clone());
        Box::pin(async move {
            let mut file = OpenOptions::new().write(true).create(true).truncate(true).open(path).await?;
            let BufResult(out, _) = file.write_all_at(data, 0).await;
            out?;
            file.sync_all().await?;
            Self::sync_dir(dir).await
        })
    }

    fn append(&self, name: &str, at: u64, data: Vec<u8>) -> LocalFuture<io::Result<()>> {
        let (path, dir) = (self.path.join(name), self.path.clone());
        Box::pin(async move {
            let mut file = OpenOptions::new().write(true).create(true).open(path).await?;
            let BufResult(out, _) = file.write_all_at(data, at).await;
            out?;
            file.sync_all().await?;
            if at == 0 { Self::sync_dir(dir).await } else { Ok(()) }
        })
    }
}
