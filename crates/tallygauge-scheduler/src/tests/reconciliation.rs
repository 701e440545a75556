//! Each kind of loss, planted, is found and mended.

use super::*;

fn furnished() -> ClusterState {
    let mut c = cluster(&["sa", "l1a", "l2b"], 100.0);
    for n in 1..5 {
        c.add_job(spec(n, 6, 1.5), 1, 0.0, &RangeSet::first(1));
    }
    round(&mut c, 100.0);
    c
}

#[test]
fn nothing_is_found_where_nothing_is_wrong() {
    let mut c = furnished();
    assert!(
        c.jobs.values().any(|j| !j.attempts_by_task.is_empty())
            && c.jobs.values().any(|j| !j.pending.is_empty())
    );
    for _ in 0..9 {
        assert_eq!(c.reconcile(2), Vec::<String>::new());
    }
}

#[test]
fn every_kind_of_loss_is_found_within_one_turn_of_the_sweep() {
    type Plant = fn(&mut ClusterState);
    let plants: [(&str, Plant); 8] = [
        ("a task waits nowhere", |c| {
            let job = c.jobs.values_mut().find(|j| !j.pending.is_empty()).unwrap();
            let n = job.pending.nth(0).unwrap();
            job.pending.remove(n);
        }),
        ("a task waits and is on a machine", |c| {
            let job = c
                .jobs
                .values_mut()
                .find(|j| !j.attempts_by_task.is_empty())
                .unwrap();
            let n = *job.attempts_by_task.keys().next().unwrap();
            job.pending.insert(n);
        }),
        ("a task is held by nobody", |c| {
            let job = c.jobs.values_mut().find(|j| !j.pending.is_empty()).unwrap();
            let n = job.pending.nth(0).unwrap();
            job.pending.remove(n);
            job.attempts_by_task.insert(n, 1);
        }),
        ("a machine that is gone", |c| {
            let job = c.jobs.values_mut().next().unwrap();
            job.attempts_by_worker.insert("host-9".into(), 1);
        }),
        ("an attempt that the job does not know of", |c| {
            let job = c
                .jobs
                .values_mut()
                .find(|j| !j.attempts_by_worker.is_empty())
                .unwrap();
            job.attempts_by_worker.clear();
        }),
        ("a room that is free and not counted", |c| {
            c.workers.get_mut("sa").unwrap().free_resources.cpus -= 1.0;
        }),
        ("an end that nobody keeps", |c| {
            let job = c.jobs.get_mut("req-1").unwrap();
            job.unsaved_chunks.insert(0);
        }),
        ("all done and nobody says so", |c| {
            let done = RangeSet::first(2);
            c.add_job(spec(7, 2, 1.0), 1, 0.0, &done);
            c.jobs_with_unsaved_progress.clear();
        }),
    ];
    for (what, plant) in plants {
        let mut c = furnished();
        plant(&mut c);
        let found: Vec<String> = (0..4).flat_map(|_| c.reconcile(2)).collect();
        assert!(!found.is_empty(), "{what} was not found");
        let again: Vec<String> = (0..4).flat_map(|_| c.reconcile(2)).collect();
        assert!(again.is_empty(), "{what} was not mended: {again:?}");
        for j in c.jobs.values() {
            let waits = j.pending.len() + j.resumable.len() as u32;
            assert_eq!(
                j.completed.len() + j.attempts_by_task.len() as u32 + waits,
                j.spec.tasks,
                "{what}"
            );
        }
    }
}
