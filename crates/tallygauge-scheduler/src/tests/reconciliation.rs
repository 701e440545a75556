//! Reconciliation finds and repairs each kind of inconsistency.

use super::*;

fn cluster_with_jobs() -> ClusterState {
    let mut c = cluster(&["sa", "l1a", "l2b"], 100.0);
    for n in 1..5 {
        c.add_job(spec(n, 6, 1.5), 1, 0.0, &RangeSet::first(1));
    }
    round(&mut c, 100.0);
    c
}

#[test]
fn reconcile_finds_no_difference_in_a_consistent_state() {
    let mut c = cluster_with_jobs();
    assert!(
        c.jobs.values().any(|job| !job.attempts_by_task.is_empty())
            && c.jobs.values().any(|job| !job.pending.is_empty())
    );
    for _ in 0..9 {
        assert_eq!(c.reconcile(2), Vec::<String>::new());
    }
}

#[test]
fn reconcile_finds_and_repairs_every_kind_of_inconsistency_in_one_pass() {
    type Corrupt = fn(&mut ClusterState);
    let corruptions: [(&str, Corrupt); 8] = [
        ("a task is neither pending nor on a machine", |c| {
            let job = c
                .jobs
                .values_mut()
                .find(|job| !job.pending.is_empty())
                .unwrap();
            let task = job.pending.nth(0).unwrap();
            job.pending.remove(task);
        }),
        ("a task is pending and on a machine", |c| {
            let job = c
                .jobs
                .values_mut()
                .find(|job| !job.attempts_by_task.is_empty())
                .unwrap();
            let task = *job.attempts_by_task.keys().next().unwrap();
            job.pending.insert(task);
        }),
        ("a recorded attempt does not exist", |c| {
            let job = c
                .jobs
                .values_mut()
                .find(|job| !job.pending.is_empty())
                .unwrap();
            let task = job.pending.nth(0).unwrap();
            job.pending.remove(task);
            job.attempts_by_task.insert(task, 1);
        }),
        ("a recorded machine does not exist", |c| {
            let job = c.jobs.values_mut().next().unwrap();
            job.attempts_by_worker.insert("host-9".into(), 1);
        }),
        ("attempts are missing in a job's counts", |c| {
            let job = c
                .jobs
                .values_mut()
                .find(|job| !job.attempts_by_worker.is_empty())
                .unwrap();
            job.attempts_by_worker.clear();
        }),
        ("free resources of a machine are too low", |c| {
            c.workers.get_mut("sa").unwrap().free_resources.cpus -= 1.0;
        }),
        ("an unsaved chunk will not be saved", |c| {
            let job = c.jobs.get_mut("req-1").unwrap();
            job.unsaved_chunks.insert(0);
        }),
        ("a completed job will not be saved", |c| {
            let completed = RangeSet::first(2);
            c.add_job(spec(7, 2, 1.0), 1, 0.0, &completed);
            c.jobs_with_unsaved_progress.clear();
        }),
    ];
    for (fault, corrupt) in corruptions {
        let mut c = cluster_with_jobs();
        corrupt(&mut c);
        let found: Vec<String> = (0..4).flat_map(|_| c.reconcile(2)).collect();
        assert!(!found.is_empty(), "not found: {fault}");
        let again: Vec<String> = (0..4).flat_map(|_| c.reconcile(2)).collect();
        assert!(again.is_empty(), "not repaired: {fault}: {again:?}");
        for job in c.jobs.values() {
            let unplaced = job.pending.len() + job.resumable.len() as u32;
            assert_eq!(
                job.completed.len() + job.attempts_by_task.len() as u32 + unplaced,
                job.spec.tasks,
                "{fault}"
            );
        }
    }
}
