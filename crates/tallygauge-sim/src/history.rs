//! Checks that users' reads of job statuses are linearizable.
//!
//! The status of a job changes from unknown to active, then to done or cancelled, and never
//! back. The reads of a job are linearizable if and only if
//! - no read that began after another one had ended returns an earlier status, and
//! - all final statuses agree.
//!
//! Reads that overlap in time may be ordered either way.

use std::collections::BTreeMap;
use tallygauge::user_api::{RelayedReply, Reply};
use tallygauge_protocol::users::{JobResponse, JobStatus};

/// The status of a job as users can distinguish it, in the order of a job's lifecycle.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum ObservedStatus {
    Unknown,
    Active,
    Done,
    Cancelled,
}

impl ObservedStatus {
    /// Whether this status and the status returned by a later, not overlapping read are
    /// inconsistent.
    fn contradicts(self, later: Self) -> bool {
        let are_both_final = self >= Self::Done && later >= Self::Done;
        later < self || (are_both_final && later != self)
    }
}

/// One read of a job's status.
#[derive(Debug, Clone, Copy)]
struct StatusRead {
    /// When the user sent the request, in seconds of simulated time.
    requested_at: f64,
    /// When the user got the reply, in seconds of simulated time.
    answered_at: f64,
    status: ObservedStatus,
}

/// The recorded status reads, by job id.
#[derive(Debug, Default)]
pub struct History {
    reads: BTreeMap<String, Vec<StatusRead>>,
}

impl History {
    /// Records a reply about a job, with the times of request and reply in seconds of
    /// simulated time. Replies that do not contain the job's status are ignored.
    pub fn record(&mut self, id: &str, requested_at: f64, answered_at: f64, reply: &Reply) {
        let Some(status) = observed_status(reply) else {
            return;
        };
        let read = StatusRead {
            requested_at,
            answered_at,
            status,
        };
        self.reads.entry(id.to_string()).or_default().push(read);
    }

    /// Number of recorded reads.
    pub fn len(&self) -> usize {
        self.reads.values().map(Vec::len).sum()
    }

    /// Whether no read is recorded.
    pub fn is_empty(&self) -> bool {
        self.reads.is_empty()
    }

    /// Describes each pair of reads of a job in which the later read contradicts the earlier
    /// one.
    pub fn stale_reads(&self) -> Vec<String> {
        let mut stale = Vec::new();
        for (id, reads) in &self.reads {
            for later in reads {
                let earlier = reads
                    .iter()
                    .filter(|read| read.answered_at <= later.requested_at);
                let contradicted =
                    earlier.filter(|earlier| earlier.status.contradicts(later.status));
                stale.extend(
                    contradicted.map(|earlier| format!("{id}: {earlier:?}, then {later:?}")),
                );
            }
        }
        stale
    }
}

/// The status that a reply contains; `None` if it contains none.
fn observed_status(reply: &Reply) -> Option<ObservedStatus> {
    let status = match reply {
        Reply::Job { response, .. } => response.status,
        Reply::Relayed(relayed) if matches!(relayed.status, 200 | 201) => {
            let response: JobResponse = serde_json::from_slice(&relayed.body).ok()?;
            response.status
        }
        Reply::Rejected { status: 404, .. } | Reply::Relayed(RelayedReply { status: 404, .. }) => {
            return Some(ObservedStatus::Unknown);
        }
        Reply::Rejected { .. } | Reply::RetryLater { .. } | Reply::Relayed(..) => return None,
    };
    Some(match status {
        JobStatus::Pending | JobStatus::Running => ObservedStatus::Active,
        JobStatus::Done => ObservedStatus::Done,
        JobStatus::Cancelled => ObservedStatus::Cancelled,
    })
}
