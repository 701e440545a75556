//! The check that status reads are linearizable reports stale reads.

use tallygauge::user_api::Reply;
use tallygauge_protocol::users::{JobResponse, JobStatus};
use tallygauge_sim::History;

/// A reply with the status of a job.
fn reply_with(status: JobStatus) -> Reply {
    let response = JobResponse {
        id: "req-1".into(),
        status,
        done: None,
        running: None,
    };
    Reply::Job {
        status: 200,
        response,
    }
}

// A check that missed stale reads would let tests of linearizable reads pass on any fault;
// one that reported overlapping reads, which may be ordered either way, would fail them.
#[test]
fn stale_reads_are_found_and_overlapping_reads_are_not() {
    let not_found_reply = || Reply::Rejected {
        status: 404,
        error: String::new(),
    };
    for (second_reply, requested_at, stale_count) in [
        (reply_with(JobStatus::Pending), 1.5, 0),
        (reply_with(JobStatus::Pending), 2.0, 1),
        (not_found_reply(), 3.0, 1),
        (reply_with(JobStatus::Cancelled), 3.0, 1),
        (reply_with(JobStatus::Done), 3.0, 0),
    ] {
        let mut history = History::default();
        history.record("req-1", 1.0, 2.0, &reply_with(JobStatus::Done));
        history.record("req-1", requested_at, 4.0, &second_reply);
        assert_eq!(
            history.stale_reads().len(),
            stale_count,
            "{second_reply:?} requested at {requested_at} s"
        );
    }
}
