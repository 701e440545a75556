//! One-way partitions, duplicated heartbeats, immediate restarts of agents and controllers,
//! isolated controllers, and users who wait for a reply.

use std::time::Duration;
use tallygauge::reconciliation::JobRepairCounts;
use tallygauge::{reconciliation, user_api, worker_api::has_recent_heartbeats};
use tallygauge_protocol::users::JobStatus;
use tallygauge_sim::{
    CANCEL_TIMEOUT_S, HEARTBEAT_INTERVAL_S, JobRequest, LEASE_S, RandomDelay, RelayTo, Simulation,
    count_starts, eventually, is_active_leader, query_status, reply_status, sleep_s,
    start_with_leader, submit_job, submit_until_accepted,
};

// Heartbeats of a machine arrive, but neither replies nor direct commands reach it. If the
// leader still took the machine for usable, tasks placed there would never start.
#[tokio::test(start_paused = true)]
async fn unreachable_machine_loses_its_tasks_and_gets_no_new_ones() {
    let (simulation, controller_a, _task) = start_with_leader().await;
    let id = submit_job(&simulation, &controller_a, 1, 2, 8.0, 20.0).await;
    assert!(eventually(60.0, async || count_starts(&simulation) == 2).await);
    let unreachable = simulation.state.lock().unwrap().starts[0].worker.clone();
    simulation.set_inbound_blocked(&unreachable, true);
    // Its task ends when its lease expires, and is started elsewhere.
    assert!(
        eventually(120.0, async || query_status(&controller_a, &id).await
            == Some(JobStatus::Done))
        .await
    );
    let JobRequest {
        id: _,
        body: second_body,
    } = simulation.job(2, 6, 8.0, 5.0);
    let starts_before = count_starts(&simulation);
    submit_until_accepted(&controller_a, &second_body).await;
    sleep_s(60.0).await;
    let starts_on_unreachable = simulation.state.lock().unwrap().starts[starts_before..]
        .iter()
        .filter(|s| s.worker == unreachable)
        .count();
    assert_eq!(starts_on_unreachable, 0);
    // The machine stays unreachable and is returned to the cloud.
    assert!(
        eventually(LEASE_S * 6.0, async || !simulation
            .booted_machines()
            .contains(&unreachable))
        .await
    );
    simulation.assert_invariants();
}

// No stop command reaches the machine on which a cancelled task runs. The worker lease must
// expire before the cancellation timeout, or the task would run past that timeout.
#[tokio::test(start_paused = true)]
async fn cancelled_task_on_unreachable_machine_stops_within_the_timeout() {
    let (simulation, controller_a, _task) = start_with_leader().await;
    let id = submit_job(&simulation, &controller_a, 1, 1, 8.0, 200.0).await;
    assert!(eventually(60.0, async || count_starts(&simulation) == 1).await);
    sleep_s(3.0).await;
    let worker = simulation.state.lock().unwrap().starts[0].worker.clone();
    simulation.set_inbound_blocked(&worker, true);
    assert_eq!(
        reply_status(&user_api::cancel(&controller_a, &id).await),
        Some(JobStatus::Cancelled)
    );
    simulation.record_cancellation(&id);
    sleep_s(CANCEL_TIMEOUT_S + 5.0).await;
    simulation.assert_invariants();
}

// The agents of all machines restart and lose their tasks. The leader must notice this
// from their heartbeats and start the tasks again; a leader that still counted them as
// running would never complete the job.
#[tokio::test(start_paused = true)]
async fn restarted_agent_reruns_its_tasks_within_three_leases() {
    let (simulation, controller_a, _task) = start_with_leader().await;
    let id = submit_job(&simulation, &controller_a, 1, 2, 8.0, 8.0).await;
    assert!(eventually(60.0, async || count_starts(&simulation) == 2).await);
    sleep_s(4.0).await;
    for worker in simulation.booted_machines() {
        simulation.restart_agent(&worker);
    }
    assert!(
        eventually(LEASE_S * 3.0, async || query_status(&controller_a, &id)
            .await
            == Some(JobStatus::Done))
        .await
    );
    simulation.assert_invariants();
}

// Copies of heartbeats arrive late, also after the leader has crashed and for a machine
// that is partitioned. A leader that applied them as current ones would take ended tasks
// for running ones and a partitioned machine for a reachable one.
#[tokio::test(start_paused = true)]
async fn late_duplicate_heartbeats_break_no_invariant() {
    for seed in 0..6 {
        let simulation = Simulation::new();
        simulation.seed(seed);
        simulation.set_faults(|faults| {
            faults.duplicated_heartbeats = RandomDelay {
                probability: 0.4,
                max_delay_s: LEASE_S * 2.5,
            }
        });
        tokio::spawn(simulation.clone().run_workers());
        let (controller_a, task) = simulation.start_controller("n-a");
        let (controller_b, _task_b) = simulation.start_controller("n-b");
        let mut jobs = Vec::new();
        for n in 1..=6 {
            jobs.push(submit_job(&simulation, &controller_a, n, 3, 4.0, 4.0).await);
            sleep_s(4.0).await;
        }
        // The leader crashes, and a machine is partitioned; copies of its heartbeats still
        // arrive.
        simulation.crash_controller("n-a", &task);
        if let Some(worker) = simulation.booted_machines().first() {
            simulation.set_worker_partitioned(worker, true);
        }
        for id in &jobs {
            assert!(
                eventually(200.0, async || query_status(&controller_b, id).await
                    == Some(JobStatus::Done))
                .await,
                "seed {seed}"
            );
        }
        simulation.assert_invariants();
    }
}

// A controller that was partitioned from the store and its peers used to look healthy, so
// that its users kept asking it and got no answer until the partition healed.
#[tokio::test(start_paused = true)]
async fn isolated_controller_loses_users_and_workers_without_lease_expiry() {
    let (simulation, controller_a, _task_a) = start_with_leader().await;
    let (controller_b, _task_b) = simulation.start_controller("n-b");
    let id = submit_job(&simulation, &controller_a, 1, 2, 8.0, 90.0).await;
    assert!(eventually(60.0, async || count_starts(&simulation) == 2).await);
    // The settings of the simulation name no peers; with a peer, the controller would be
    // isolated by this partition.
    assert!(!controller_a.is_isolated());
    simulation.set_store_partitioned("n-a", true);
    assert!(
        eventually(
            controller_a.leader_lease_ttl().as_secs_f64() * 4.0,
            async || {
                let _ = query_status(&controller_a, &id).await;
                controller_a.store.failing_since().is_some()
            }
        )
        .await
    );
    // The workers find the next leader before their leases expire.
    assert!(eventually(LEASE_S, async || is_active_leader(&controller_b)).await);
    assert!(
        eventually(LEASE_S * 2.0, async || has_recent_heartbeats(&controller_b)
            || !is_active_leader(&controller_a))
        .await
    );
    sleep_s(LEASE_S).await;
    assert_eq!(count_starts(&simulation), 2, "a worker lease expired");
    // When the partition heals, nothing changes; then the other controller is partitioned.
    simulation.set_faults(|faults| faults.store_partitioned.clear());
    sleep_s(5.0).await;
    simulation.set_store_partitioned("n-b", true);
    assert!(eventually(LEASE_S * 2.0, async || is_active_leader(&controller_a)).await);
    assert!(
        eventually(200.0, async || query_status(&controller_a, &id).await
            == Some(JobStatus::Done))
        .await
    );
    assert_eq!(count_starts(&simulation), 2);
    simulation.assert_invariants();
}

// A controller that restarts within a fraction of a second finds its own name in the leader
// record, with a lease that has not expired. If the controller took this to mean that it still
// leads that term, it would use the term and the names that it assigns a second time.
#[tokio::test(start_paused = true)]
async fn controller_restarted_at_once_reuses_no_term_or_name() {
    for restart_delay_ms in [10u64, 90, 300, 900] {
        let simulation = Simulation::new();
        tokio::spawn(simulation.clone().run_workers());
        let (mut controller, mut task) = simulation.start_controller("n-a");
        let id = submit_job(&simulation, &controller, 1, 12, 4.0, 3.0).await;
        for restart in 0..5u64 {
            tokio::time::sleep(Duration::from_millis(700 * (restart + 1))).await;
            simulation.crash_controller("n-a", &task);
            tokio::time::sleep(Duration::from_millis(restart_delay_ms)).await;
            (controller, task) = simulation.start_controller("n-a");
        }
        assert!(
            eventually(200.0, async || query_status(&controller, &id).await
                == Some(JobStatus::Done))
            .await
        );
        simulation.assert_invariants();
    }
}

// A controller that has just started has no jobs in its cache. It used to send two store
// requests for each job that users polled, and each failed condition counted as a write.
// Users must get an answer about each of hundreds of jobs within thirty seconds.
#[tokio::test(start_paused = true)]
async fn new_controller_answers_for_hundreds_of_jobs_within_thirty_seconds() {
    let (simulation, controller_a, _task) = start_with_leader().await;
    let mut ids = Vec::new();
    for n in 1..=300 {
        ids.push(submit_job(&simulation, &controller_a, n, 1, 8.0, 900.0).await);
    }
    let (controller_b, _task_b) = simulation.start_controller("n-b");
    let started_at = controller_b.now();
    let mut unanswered_ids = ids.clone();
    let answered = eventually(75.0, async || {
        let mut still_unanswered = Vec::new();
        for id in std::mem::take(&mut unanswered_ids) {
            if query_status(&controller_b, &id).await.is_none() {
                still_unanswered.push(id);
            }
        }
        unanswered_ids = still_unanswered;
        unanswered_ids.is_empty()
    });
    assert!(
        answered.await,
        "{} jobs without an answer",
        unanswered_ids.len()
    );
    assert!(
        controller_b.now() - started_at < 30.0,
        "{:.1} s",
        controller_b.now() - started_at
    );
    let longest_unanswered_s = controller_b
        .unanswered_polls
        .longest_wait_s(controller_b.now(), LEASE_S);
    assert!(
        longest_unanswered_s.is_none_or(|s| s < HEARTBEAT_INTERVAL_S),
        "{longest_unanswered_s:?}"
    );
}

// A job that is stored but missing from the leader's cluster state would never run.
// Reconciliation with the store has to restore it.
#[tokio::test(start_paused = true)]
async fn reconciliation_restores_job_missing_from_cluster_state() {
    let (simulation, controller_a, _task) = start_with_leader().await;
    let id = submit_job(&simulation, &controller_a, 1, 2, 4.0, 40.0).await;
    assert!(eventually(60.0, async || count_starts(&simulation) == 2).await);
    let missing = submit_job(&simulation, &controller_a, 2, 2, 4.0, 3.0).await;
    assert!(
        eventually(10.0, async || controller_a
            .with_cluster(|cluster| cluster.jobs.contains_key(&missing))
            == Some(true))
        .await
    );
    // The leader applies a later change before the job is removed from its state, so that
    // the job watch does not restore the job.
    submit_job(&simulation, &controller_a, 3, 1, 1.0, 1.0).await;
    sleep_s(2.0).await;
    controller_a.with_cluster(|cluster| cluster.jobs.retain(|id, _| *id != missing));
    assert_eq!(
        reconciliation::reconcile_with_store(&controller_a).await,
        JobRepairCounts {
            added: 1,
            removed: 0
        }
    );
    assert_eq!(
        reconciliation::reconcile_with_store(&controller_a).await,
        JobRepairCounts {
            added: 0,
            removed: 0
        }
    );
    for id in [&missing, &id] {
        assert!(
            eventually(120.0, async || query_status(&controller_a, id).await
                == Some(JobStatus::Done))
            .await
        );
    }
    simulation.assert_invariants();
}

// The store does not answer a controller, but a peer does. If the controller counted as
// isolated, users would leave it although the peer answers their requests through the relay.
#[tokio::test(start_paused = true)]
async fn controller_refused_by_store_is_not_isolated_while_a_peer_answers() {
    let (simulation, controller_a, _task_a) = start_with_leader().await;
    let (controller_b, _task_b) = simulation.start_controller("n-b");
    controller_b
        .relay
        .set(std::sync::Arc::new(RelayTo(controller_a.clone())));
    simulation.set_store_partitioned("n-b", true);
    let id = submit_job(&simulation, &controller_a, 1, 1, 1.0, 3.0).await;
    sleep_s(5.0).await;
    controller_b
        .peer_reachability
        .record_contact(controller_b.now());
    assert!(!controller_b.is_isolated());
    let path = format!("/work/{id}");
    let method = warp::http::Method::GET;
    let reply = user_api::serve(&controller_b, &method, &path, b"")
        .await
        .unwrap();
    assert_eq!(reply.status(), 200);
}
