//! The order of a worker's messages, and messages that arrive out of it.

/// Place of a message among all of its worker, ordered by agent incarnation, then by
/// sequence number.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct SequenceMark {
    /// Agent incarnation; it grows when the worker's lease expires.
    pub incarnation: u64,
    /// Sequence number; it grows with every message of the incarnation.
    pub sequence: u64,
}

/// How a message relates to those that arrived before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Arrival {
    /// Newer than all others.
    New,
    /// Older, but its worker may still wait for the response: a direct reply that
    /// was sent after it arrived before it.
    Overtaken,
    /// Older: a late copy, or a message of a worker that has restarted. A liveness
    /// probe tells which.
    Old,
}

/// The newest message of a worker that has arrived.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct MessageOrder {
    /// Mark of the newest message.
    pub newest: SequenceMark,
    /// When a direct reply was last the newest message.
    direct_reply_at: Option<f64>,
    /// An old message has arrived, and no liveness probe was sent since.
    probe_requested: bool,
}

impl MessageOrder {
    /// Classifies a message that arrives at `now`. A worker waits
    /// `response_timeout_s` seconds for the response to a heartbeat, and has one
    /// heartbeat under way at a time.
    #[must_use]
    pub fn classify(&self, mark: SequenceMark, now: f64, response_timeout_s: f64) -> Arrival {
        if mark > self.newest {
            return Arrival::New;
        }
        let sender_may_wait = self
            .direct_reply_at
            .is_some_and(|replied_at| now - replied_at <= response_timeout_s);
        if sender_may_wait
            && mark.incarnation == self.newest.incarnation
            && mark.sequence < self.newest.sequence
        {
            Arrival::Overtaken
        } else {
            Arrival::Old
        }
    }

    /// Records a new message; `is_direct_reply` if it replies to a direct message.
    pub fn advance(&mut self, mark: SequenceMark, is_direct_reply: bool, now: f64) {
        self.newest = mark;
        if is_direct_reply {
            self.direct_reply_at = Some(now);
        }
        self.probe_requested = false;
    }

    /// Asks for a liveness probe, as an old message has arrived.
    pub fn request_liveness_probe(&mut self) {
        self.probe_requested = true;
    }

    /// Whether a liveness probe should be sent.
    #[must_use]
    pub fn needs_liveness_probe(&self) -> bool {
        self.probe_requested
    }

    /// Records that a liveness probe was sent; the next is due after the next old
    /// message.
    pub fn liveness_probe_sent(&mut self) {
        self.probe_requested = false;
    }
}

impl SequenceMark {
    /// Whether a worker that replies to a probe with this mark has restarted since
    /// the probe was sent, when `before` was its newest message: a worker that has
    /// not restarted replies with a mark above all that it has sent.
    #[must_use]
    pub fn is_restart_since(self, before: SequenceMark) -> bool {
        self <= before
    }
}

#[cfg(test)]
mod tests;
