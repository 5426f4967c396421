//! What was sent, answered and run, line by line with the time since the start.

use std::{
    fs::File,
    io::{BufWriter, Write},
    path::Path,
    sync::Mutex,
    time::{Duration, Instant},
};

pub struct Record {
    start: Instant,
    file: Mutex<BufWriter<File>>,
}

impl Record {
    pub fn new(path: &Path) -> std::io::Result<Self> {
        Ok(Self { start: Instant::now(), file: Mutex::new(BufWriter::new(File::create(path)?)) })
    }

    /// The time since the start.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// One line of the record only.
    pub fn line(&self, text: impl AsRef<str>) {
        let now = self.now();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:8.3} {}", now.as_secs_f64(), text.as_ref());
    }

    /// One line of the record, shown too.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{:8.3} {}", self.now().as_secs_f64(), text.as_ref());
        self.line(text);
    }

    pub fn flush(&self) {
        let _ = self.file.lock().unwrap().flush();
    }
}
