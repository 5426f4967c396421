//! The record of a run: what was sent, answered and run, with the time since the start.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self { start: Instant::now(), file: Arc::new(Mutex::new(File::create(path)?)) })
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} {}\n", self.start.elapsed().as_secs_f64(), text.as_ref());
        print!("{line}");
        let _ = self.file.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).write_all(line.as_bytes());
    }

    /// A line that is not shown on standard output.
    pub fn detail(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} {}\n", self.start.elapsed().as_secs_f64(), text.as_ref());
        let _ = self.file.lock().unwrap_or_else(|poisoned| poisoned.into_inner()).write_all(line.as_bytes());
    }
}
