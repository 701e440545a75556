//! Tests of the state that a controller keeps between users' requests: the job cache, the
//! unanswered polls, and the task counts read from the leader.

use tallygauge::{
    job_cache::{CachedJob, JobCache},
    task_counts::TaskCountCache,
    unanswered_polls::UnansweredPolls,
    user_api::TerminalJobRecord,
};
use tallygauge_protocol::users::JobStatus;
use tallygauge_scheduler::TaskCount;

const DONE_RECORD: TerminalJobRecord = TerminalJobRecord {
    status: JobStatus::Done,
    done: 3,
};

#[test]
fn a_cached_terminal_job_never_becomes_active_again() {
    let cache = JobCache::new(10);
    cache.insert_active("req-1", 7);
    cache.insert_terminal("req-1", DONE_RECORD);
    cache.insert_active("req-1", 8);
    cache.mark_stale("req-1", 8);
    assert_eq!(cache.get("req-1"), Some(CachedJob::Terminal(DONE_RECORD)));
    assert!(cache.is_terminal("req-1"));
}

#[test]
fn a_job_is_marked_stale_only_if_the_failed_version_is_the_cached_one() {
    let cache = JobCache::new(10);
    cache.insert_active("req-1", 7);
    cache.mark_stale("req-1", 6);
    assert_eq!(cache.get("req-1"), Some(CachedJob::Active(7)));
    cache.mark_stale("req-1", 7);
    assert_eq!(cache.get("req-1"), Some(CachedJob::Stale));
    cache.insert_missing_active([("req-1", 9), ("req-2", 9)].into_iter());
    assert_eq!(cache.get("req-1"), Some(CachedJob::Stale));
    assert_eq!(cache.get("req-2"), Some(CachedJob::Active(9)));
}

#[test]
fn a_full_job_cache_evicts_the_job_added_first() {
    let cache = JobCache::new(2);
    for id in ["req-1", "req-2", "req-3"] {
        cache.insert_active(id, 1);
    }
    assert_eq!(cache.get("req-1"), None);
    assert_eq!(cache.get("req-2"), Some(CachedJob::Active(1)));
    assert_eq!(cache.get("req-3"), Some(CachedJob::Active(1)));
}

#[test]
fn a_job_counts_as_unanswered_from_its_first_poll_until_a_reply_or_expiry() {
    let polls = UnansweredPolls::default();
    assert_eq!(polls.record_poll("req-1", 10.0, 5.0), 10.0);
    assert_eq!(polls.record_poll("req-1", 14.0, 5.0), 10.0);
    assert_eq!(polls.record_poll("req-2", 15.0, 5.0), 15.0);
    assert_eq!(polls.longest_wait_s(16.0, 5.0), Some(6.0));
    polls.record_answer("req-1");
    assert_eq!(polls.longest_wait_s(16.0, 5.0), Some(1.0));
    assert_eq!(polls.longest_wait_s(21.0, 5.0), None);
    assert_eq!(polls.record_poll("req-2", 21.0, 5.0), 21.0);
}

#[test]
fn task_counts_are_requested_for_polled_jobs_and_expire() {
    let counts = TaskCountCache::default();
    assert_eq!(counts.get_and_request("req-1"), TaskCount::default());
    assert_eq!(counts.take_requested(), ["req-1"]);
    assert!(counts.take_requested().is_empty());
    let count = TaskCount {
        done: 2,
        running: 1,
    };
    counts.update([("req-1".to_string(), count)].into_iter(), 100.0);
    assert_eq!(counts.get_and_request("req-1"), count);
    counts.update(std::iter::empty(), 160.0);
    assert_eq!(counts.get_and_request("req-1"), TaskCount::default());
}
