//! Checks that the job statuses that users read are linearizable.
//!
//! A job's status goes from unknown to active to done or cancelled, and never back. Reads
//! are linearizable exactly if none that began after another had ended returns an earlier
//! status, and all final statuses agree. Reads that overlap may be ordered either way.

use std::collections::BTreeMap;
use tallygauge::user_api::{RelayedReply, Reply};
use tallygauge_protocol::users::{JobResponse, JobStatus};

/// A job's status as users read it, in the order in which a job goes through them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum ObservedStatus {
    Unknown,
    Active,
    Done,
    Cancelled,
}

impl ObservedStatus {
    /// Whether a read that began after one of this status had ended contradicts it.
    fn is_contradicted_by(self, later: Self) -> bool {
        let are_both_final = self >= Self::Done && later >= Self::Done;
        later < self || (are_both_final && later != self)
    }
}

/// One read of a job's status.
#[derive(Debug, Clone, Copy)]
struct StatusRead {
    /// When it was requested, in seconds of simulated time.
    requested_at: f64,
    /// When it was answered, in seconds of simulated time.
    answered_at: f64,
    status: ObservedStatus,
}

/// Reads of jobs' statuses by users.
#[derive(Debug, Default)]
pub struct History {
    reads: BTreeMap<String, Vec<StatusRead>>,
}

impl History {
    /// Records a reply about a job with the times of request and answer, in seconds of
    /// simulated time. Replies that don't tell the job's status are ignored.
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

    /// Number of reads recorded.
    pub fn len(&self) -> usize {
        self.reads.values().map(Vec::len).sum()
    }

    /// Whether no read is recorded.
    pub fn is_empty(&self) -> bool {
        self.reads.is_empty()
    }

    /// Describes each pair of reads of which the later one contradicts the earlier one.
    pub fn stale_reads(&self) -> Vec<String> {
        let mut stale = Vec::new();
        for (id, reads) in &self.reads {
            for later in reads {
                let earlier = reads.iter().filter(|e| e.answered_at <= later.requested_at);
                let contradicted =
                    earlier.filter(|earlier| earlier.status.is_contradicted_by(later.status));
                stale.extend(contradicted.map(|e| format!("{id}: {e:?} and then {later:?}")));
            }
        }
        stale
    }
}

/// The status that a reply tells, if it does.
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
