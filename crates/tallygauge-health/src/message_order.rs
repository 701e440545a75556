//! The order of a worker's messages, and what falls out of it.

/// Place of a message in its worker's own order: session, then number.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct SequenceMark {
    /// Session.
    pub incarnation: u64,
    /// Number of the message; it grows with every one.
    pub sequence: u64,
}

/// What a message is, by its place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Arrival {
    /// Newer than all that was heard.
    New,
    /// Older, but its worker may still wait for the answer: a direct answer,
    /// made after it was sent, came before it.
    Overtaken,
    /// Older: a late copy, or the word of a worker that has begun again. Who
    /// lives can be asked.
    Old,
}

/// The newest message of a worker, as far as it was heard.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct MessageOrder {
    /// Its place.
    pub newest: SequenceMark,
    /// When a direct answer was last the newest.
    direct_at: Option<f64>,
    /// An old message came, and nobody was asked about it since.
    probe_requested: bool,
}

impl MessageOrder {
    /// Places a message that arrives at `now`. A worker waits `patience_s` for
    /// the answer to a report, and has one under way at a time.
    #[must_use]
    pub fn classify(&self, mark: SequenceMark, now: f64, patience_s: f64) -> Arrival {
        if mark > self.newest {
            return Arrival::New;
        }
        let waits = self.direct_at.is_some_and(|at| now - at <= patience_s);
        if waits
            && mark.incarnation == self.newest.incarnation
            && mark.sequence < self.newest.sequence
        {
            Arrival::Overtaken
        } else {
            Arrival::Old
        }
    }

    /// Takes a new message up.
    pub fn advance(&mut self, mark: SequenceMark, direct: bool, now: f64) {
        self.newest = mark;
        if direct {
            self.direct_at = Some(now);
        }
        self.probe_requested = false;
    }

    /// An old message came: it should be asked who lives.
    pub fn request_liveness_probe(&mut self) {
        self.probe_requested = true;
    }

    /// Whether it should be asked who lives.
    #[must_use]
    pub fn needs_liveness_probe(&self) -> bool {
        self.probe_requested
    }

    /// It was asked: until the next old message there is no need to ask again.
    pub fn liveness_probe_sent(&mut self) {
        self.probe_requested = false;
    }
}

impl SequenceMark {
    /// Whether a worker that answers a question with this has begun again since
    /// `before` was its newest message at the time of the question: whoever
    /// lives answers with a number above all that it has sent.
    #[must_use]
    pub fn is_restart_since(self, before: SequenceMark) -> bool {
        self <= before
    }
}

#[cfg(test)]
mod tests;
