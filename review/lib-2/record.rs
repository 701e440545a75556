//! The record of a run: what was sent, answered and run, with the seconds since its start.

use std::{fs::File, io::Write, sync::Mutex, time::Instant};

pub struct Record {
    began: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &str) -> Record {
        Record {
            began: Instant::now(),
            file: Mutex::new(File::create(path).expect("record")),
        }
    }

    /// Seconds since the start.
    pub fn now(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:9.3} {}", self.now(), text.as_ref());
    }
}
