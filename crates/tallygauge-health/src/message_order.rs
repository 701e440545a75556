//! Order of a worker's messages, and detection of messages that arrive out of order.

/// Position of a message among all messages of its worker: ordered by agent incarnation,
/// then by sequence number.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct SequenceMark {
    /// Agent incarnation, which increases when the worker's lease expires.
    pub incarnation: u64,
    /// Sequence number, which increases with every message of the incarnation.
    pub sequence: u64,
}

/// Position of a message relative to the messages that arrived before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Arrival {
    /// Newer than all messages that arrived before.
    New,
    /// Older than the newest message, because a direct reply that the worker sent later
    /// arrived earlier. The worker may still wait for the response to this older message.
    Overtaken,
    /// Not newer than the newest message: either a late copy, or a message of a worker
    /// that has restarted. A liveness probe tells which of the two it is.
    Old,
}

/// Order of the messages that have arrived from one worker.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct MessageOrder {
    /// Position of the newest message that has arrived.
    pub newest: SequenceMark,
    /// When a direct reply last became the newest message.
    direct_reply_at: Option<f64>,
    /// Whether a liveness probe is needed: an old message has arrived, and since then no
    /// probe was sent and no new message arrived.
    probe_requested: bool,
}

impl MessageOrder {
    /// Classifies a message that arrives at `now`. Assumes that a worker has at most one
    /// heartbeat in flight, and waits `response_timeout_s` seconds for its response.
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

    /// Records a new message. `is_direct_reply` is set if it replies to a direct message.
    pub fn advance(&mut self, mark: SequenceMark, is_direct_reply: bool, now: f64) {
        self.newest = mark;
        if is_direct_reply {
            self.direct_reply_at = Some(now);
        }
        self.probe_requested = false;
    }

    /// Requests a liveness probe, as an old message has arrived.
    pub fn request_liveness_probe(&mut self) {
        self.probe_requested = true;
    }

    /// Whether a liveness probe should be sent.
    #[must_use]
    pub fn needs_liveness_probe(&self) -> bool {
        self.probe_requested
    }

    /// Records that a liveness probe was sent. The next one is needed when another old
    /// message arrives.
    pub fn liveness_probe_sent(&mut self) {
        self.probe_requested = false;
    }
}

impl SequenceMark {
    /// Whether a worker that replies to a probe with this mark has restarted. `before` is
    /// the mark of its newest message when the probe was sent. A worker that has not
    /// restarted replies with a mark greater than all marks that it has sent.
    #[must_use]
    pub fn is_restart_since(self, before: SequenceMark) -> bool {
        self <= before
    }
}

#[cfg(test)]
mod tests;
