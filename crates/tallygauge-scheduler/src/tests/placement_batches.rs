//! Placement batches and the attempts in them.

use super::*;

#[test]
fn attempt_numbers_are_exhausted_before_they_reach_the_next_term() {
    let mut c = cluster(&["sa"], 100.0);
    c.add_job(spec(1, 2, 1.0), 1, 90.0, &RangeSet::default());
    let mut next_term_config = config();
    next_term_config.term += 1;
    let first_of_next_term =
        ClusterState::new(next_term_config, 100.0, 16, 4096).last_attempt_number;
    c.last_attempt_number = first_of_next_term - 4;
    c.run_round(100.0, true);
    assert!(!c.attempt_numbers_exhausted());
    assert!(
        c.workers["sa"]
            .attempts
            .iter()
            .all(|attempt| attempt.number < first_of_next_term)
    );
    c.next_attempt_number();
    assert!(c.attempt_numbers_exhausted());
}

#[test]
fn placements_of_a_round_are_restored_from_their_batches() {
    // Every record stays within its limits, and a new leader restores every attempt on the
    // machine where it was placed.
    let names = mixed_machine_names(30);
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut c = cluster(&names, 100.0);
    c.config.teams[0].max_cpus = 500.0;
    for n in 0..12 {
        c.add_job(spec(n, 10, 1.0), 5, 90.0, &RangeSet::default());
    }
    assert_eq!(c.run_round(100.0, false).placed, 120);
    let batches = c.take_placement_batches(1500, 4, 1000.0);
    assert!(batches.len() > 3);
    let mut next_leader = cluster(&[], 200.0);
    for n in 0..11 {
        next_leader.add_job(spec(n, 10, 1.0), 5, 190.0, &RangeSet::default());
    }
    for batch in &batches {
        assert!(serde_json::to_string(&batch.record).unwrap().len() <= 1500);
        assert!(batch.jobs.len() <= 4 && batch.jobs.iter().all(|j| j.version == 5));
        c.record_batch_committed(batch, 100.0);
        next_leader.restore_placements(&batch.name, &batch.record, 200.0, 1100.0);
    }
    let placed_attempts = |c: &ClusterState| {
        let mut placed: Vec<(String, String, u64)> = c
            .workers
            .values()
            .flat_map(|worker| {
                worker
                    .attempts
                    .iter()
                    .map(|attempt| (worker.name.clone(), attempt.task_name(), attempt.number))
            })
            .collect();
        placed.sort();
        placed
    };
    assert_eq!(placed_attempts(&c).len(), 120);
    assert_eq!(placed_attempts(&c), placed_attempts(&next_leader));
    // Attempts of the job that has ended also count against the quota, until they have
    // certainly ended.
    assert!((next_leader.quota_usage[0].cpus - 120.0).abs() < 1e-6);
    assert_eq!(next_leader.live_attempts_by_batch.len(), batches.len());
}

#[test]
fn batch_is_kept_for_a_running_job_if_another_is_cancelled_during_the_write() {
    // Guards against dropping the attempts of the first worker before those of the second
    // are counted: the batch becomes obsolete and is removed, and the next leader starts
    // tasks again although they still run.
    let mut c = cluster(&["sa", "s2b"], 100.0);
    c.add_job(spec(1, 1, 3.0), 1, 90.0, &RangeSet::default());
    c.add_job(spec(2, 1, 3.0), 1, 90.0, &RangeSet::default());
    c.run_round(100.0, false);
    let batch = c.take_placement_batches(4096, 60, 0.0).remove(0);
    assert_eq!(batch.record.workers.len(), 2);
    let first = &batch.record.workers[0];
    let cancelled_id = batch.record.jobs[first.tasks[0].job_position].id.clone();
    c.remove_job(&cancelled_id, 100.1);
    c.record_batch_committed(&batch, 100.2);
    let remaining: usize = c.workers.values().map(|w| w.attempts.len()).sum();
    assert_eq!(remaining, 1);
    assert_eq!(c.live_attempts_by_batch.get(&batch.name), Some(&1));
    assert!(
        c.obsolete_batches.is_empty(),
        "the other job still needs the record"
    );
    // The batch becomes obsolete with its last attempt.
    let other_id = if cancelled_id == "req-1" {
        "req-2"
    } else {
        "req-1"
    };
    c.remove_job(other_id, 100.3);
    for name in ["sa", "s2b"] {
        c.apply_heartbeat(
            140.0,
            &heartbeat_from(name, 2, 1, TERM, vec![]),
            HeartbeatSource::Periodic,
        );
    }
    assert!(c.obsolete_batches.contains(&batch.name));
}

#[test]
fn adopted_attempt_is_recorded_in_a_batch() {
    // Guards against a second start of a task whose attempt runs but is in no record: this
    // leader accounts for the attempt, but the next one would start the task again.
    let mut c = cluster(&["sa"], 100.0);
    c.add_job(spec(1, 1, 1.0), 1, 90.0, &RangeSet::default());
    let unrecorded = task("req-1/0", 77, TaskState::Running, None);
    c.apply_heartbeat(
        101.0,
        &heartbeat_from("sa", 1, 5, TERM, vec![unrecorded]),
        HeartbeatSource::Periodic,
    );
    assert_eq!(
        c.run_round(101.0, true),
        RoundOutcome::default(),
        "the task is not placed again"
    );
    let batch = c.take_placement_batches(4096, 60, 0.0).remove(0);
    assert_eq!((batch.record.first_attempt, batch.jobs.len()), (77, 1));
    assert!(
        c.take_placement_batches(4096, 60, 0.0).is_empty(),
        "only in one batch"
    );
    // If the batch is rejected, the attempt stays on the machine and is recorded in a later
    // batch.
    c.record_batch_rejected(&batch, 101.5);
    assert_eq!(c.workers["sa"].attempts.len(), 1);
    let later_batch = c.take_placement_batches(4096, 60, 0.0).remove(0);
    c.record_batch_committed(&later_batch, 102.0);
    assert_eq!(c.live_attempts_by_batch.get(&later_batch.name), Some(&1));
    assert_eq!(
        c.workers["sa"].attempts[0].phase,
        AttemptPhase::Observed(TaskState::Running)
    );
    assert!(c.take_placement_batches(4096, 60, 0.0).is_empty());
}
