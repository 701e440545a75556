//! Pairs of faults that are injected at the same time. For each of these tests, a table in
//! `docs/design.md` names the mechanism that keeps the invariants.

use std::{sync::Arc, time::Duration};
use tallygauge::{controller::Controller, user_api};
use tallygauge_protocol::users::JobStatus;
use tallygauge_sim::{
    CANCEL_TIMEOUT_S, DelayedWrite, FaultPoint, HEARTBEAT_INTERVAL_S, LEASE_S, RandomDelay,
    RelayTo, Simulation, cancel_until_confirmed, count_starts, eventually, is_active_leader,
    query_status, sleep_s, start_with_leader, submit_job, wait_until_done,
};
use warp::http::Method;

/// Starts two controllers, the first of which leads, and a job of two long tasks that run
/// on two machines.
async fn start_with_two_long_tasks() -> (
    Arc<Simulation>,
    [(Arc<Controller>, tokio::task::JoinHandle<()>); 2],
    String,
) {
    let (simulation, controller_a, task_a) = start_with_leader().await;
    let controller_b = simulation.start_controller("n-b");
    let id = submit_job(
        &simulation,
        &controller_a,
        1,
        2,
        8.0,
        CANCEL_TIMEOUT_S * 5.0,
    )
    .await;
    assert!(eventually(60.0, async || count_starts(&simulation) == 2).await);
    sleep_s(3.0).await;
    (simulation, [(controller_a, task_a), controller_b], id)
}

/// Makes the store refuse all requests for one and a half cancellation timeouts.
async fn run_long_store_outage(simulation: &Simulation) {
    simulation.set_store_down(true);
    sleep_s(CANCEL_TIMEOUT_S * 1.5).await;
    simulation.set_store_down(false);
}

// A job is cancelled through the follower while the store refuses the leader; then the
// store refuses all requests. Workers go on sending heartbeats to the leader, which does
// not know of the cancellation, and no controller can win an election: a leader that went
// on answering would keep the cancelled tasks running past the timeout.
#[tokio::test(start_paused = true)]
async fn cancellation_during_store_outage_stops_all_tasks_within_the_timeout() {
    for leader_refused_ms in [20u64, 400, 1500, 2500, 6000] {
        let (simulation, [(controller_a, _task_a), (controller_b, _task_b)], id) =
            start_with_two_long_tasks().await;
        simulation.set_store_refuses("n-a", true);
        tokio::time::sleep(Duration::from_millis(leader_refused_ms / 2)).await;
        cancel_until_confirmed(&simulation, &controller_b, &id, 5.0).await;
        tokio::time::sleep(Duration::from_millis(leader_refused_ms / 2)).await;
        run_long_store_outage(&simulation).await;
        simulation.set_store_refuses("n-a", false);
        // A second outage begins before the cluster has recovered from the first.
        tokio::time::sleep(Duration::from_millis(300)).await;
        simulation.set_store_refuses("n-a", true);
        run_long_store_outage(&simulation).await;
        simulation.set_store_refuses("n-a", false);
        for controller in [&controller_a, &controller_b] {
            let confirmed = eventually(30.0, async || {
                query_status(controller, &id).await == Some(JobStatus::Cancelled)
            });
            assert!(confirmed.await, "leader refused for {leader_refused_ms} ms");
        }
        simulation.assert_invariants();
    }
}

// The store refuses the leader, which relays a cancellation to the follower. The leader
// knows of this cancellation and has to stop the tasks before its fencing timeout.
#[tokio::test(start_paused = true)]
async fn leader_refused_by_store_stops_tasks_of_relayed_cancellation() {
    let (simulation, [(controller_a, _task_a), (controller_b, _task_b)], id) =
        start_with_two_long_tasks().await;
    controller_a
        .relay
        .set(Arc::new(RelayTo(controller_b.clone())));
    simulation.set_store_refuses("n-a", true);
    let path = format!("/work/{id}/abort");
    let confirmed = eventually(5.0, async || {
        let reply = user_api::serve(&controller_a, &Method::POST, &path, b"").await;
        reply.is_some_and(|r| r.status() == 200)
    });
    assert!(confirmed.await);
    simulation.record_cancellation(&id);
    simulation.set_store_down(true);
    let stopped = eventually(HEARTBEAT_INTERVAL_S * 3.0, async || {
        simulation.running_task_count(&id) == 0
    });
    assert!(stopped.await, "the leader waits for its fencing timeout");
    simulation.assert_invariants();
}

// A leader that had won its term but not recovered the cluster state yet used to answer
// workers, because its job watch counted as confirmed from the start of the term. If the
// job watch of the previous leader had been slow, cancelled tasks ran past the
// cancellation timeout.
#[tokio::test(start_paused = true)]
async fn store_outage_before_recovery_completes_keeps_cancelled_tasks_stopped() {
    // How long the job watch has hung when the leader crashes, as a fraction of the worker
    // lease.
    for hung_lease_fraction in [0.1, 0.2, 0.3, 0.4, 0.5] {
        let (simulation, [(_controller_a, task_a), (controller_b, _task_b)], id) =
            start_with_two_long_tasks().await;
        simulation.set_faults(|faults| faults.hang_job_watches = true);
        cancel_until_confirmed(&simulation, &controller_b, &id, 5.0).await;
        sleep_s(LEASE_S * hung_lease_fraction).await;
        // This request reads the last of the lists from which a new leader recovers.
        simulation.set_faults(|faults| {
            faults.store_down_at = Some(FaultPoint::before_request("n-b", "GET /store?starts=p/"))
        });
        simulation.crash_controller("n-a", &task_a);
        assert!(
            eventually(10.0, async || simulation
                .state
                .lock()
                .unwrap()
                .faults
                .store_down)
            .await
        );
        assert!(
            !is_active_leader(&controller_b),
            "the cluster state is not recovered"
        );
        simulation.set_faults(|faults| faults.hang_job_watches = false);
        sleep_s(CANCEL_TIMEOUT_S * 1.5).await;
        simulation.set_store_down(false);
        assert!(eventually(30.0, async || is_active_leader(&controller_b)).await);
        assert_eq!(
            query_status(&controller_b, &id).await,
            Some(JobStatus::Cancelled)
        );
        simulation.assert_invariants();
    }
}

// Eight leaders crash in a row, within seconds of one another. A leader that reused an
// identifier of its predecessor could have its commands confused with earlier ones; the
// simulation records a violation for each term, attempt, batch or booking used twice.
#[tokio::test(start_paused = true)]
async fn rapid_failovers_reuse_no_term_attempt_batch_or_booking() {
    let (simulation, controller_a, mut task) = start_with_leader().await;
    let id = submit_job(&simulation, &controller_a, 1, 12, 4.0, 6.0).await;
    let mut leader = controller_a;
    for failover in 0..8u64 {
        tokio::time::sleep(Duration::from_millis(600 + 300 * failover)).await;
        // The successor is either running before the crash or started after it.
        let name = ["n-b", "n-a"][failover as usize % 2];
        let successor = (failover % 3 != 0).then(|| simulation.start_controller(name));
        simulation.crash_controller(&leader.settings.node_name, &task);
        tokio::time::sleep(Duration::from_millis(40 * failover)).await;
        (leader, task) = successor.unwrap_or_else(|| simulation.start_controller(name));
    }
    assert!(wait_until_done(&leader, &id).await);
    simulation.assert_invariants();
}

// The store executes some transactions after newer ones of the same controller. Every
// late submission, cancellation, placement, completion page and election has to fail on
// its conditions, or it would revert what the newer ones wrote.
#[tokio::test(start_paused = true)]
async fn late_transactions_fail_on_their_conditions() {
    for seed in 0..8 {
        let (simulation, controller_a, task_a) = start_with_leader().await;
        simulation.seed(seed);
        let (controller_b, _task_b) = simulation.start_controller("n-b");
        simulation.set_faults(|faults| faults.late_write_probability = 0.5);
        let mut ids = Vec::new();
        for n in 1..=5 {
            ids.push(submit_job(&simulation, &controller_a, n, 4, 2.0, 3.0).await);
        }
        cancel_until_confirmed(&simulation, &controller_b, &ids[4], 60.0).await;
        tokio::time::sleep(Duration::from_secs(seed)).await;
        simulation.crash_controller("n-a", &task_a);
        let (controller_c, _task_c) = simulation.start_controller("n-c");
        sleep_s(8.0).await;
        simulation.set_faults(|faults| faults.late_write_probability = 0.0);
        for id in &ids[..4] {
            assert!(
                wait_until_done(&controller_c, id).await,
                "seed {seed}: {id}"
            );
        }
        let confirmed = eventually(LEASE_S * 4.0, async || {
            query_status(&controller_b, &ids[4]).await == Some(JobStatus::Cancelled)
        });
        assert!(confirmed.await, "seed {seed}");
        sleep_s(CANCEL_TIMEOUT_S).await;
        simulation.assert_invariants();
    }
}

// The store executes the write of a completion page after newer writes of that page by
// the same leader. If it took effect, it would revert durable completions, and the next
// leader would run these tasks again.
#[tokio::test(start_paused = true)]
async fn late_completion_page_reverts_no_completions() {
    let (simulation, controller_a, task_a) = start_with_leader().await;
    // The team's quota allows two tasks at a time.
    let id = submit_job(&simulation, &controller_a, 1, 5, 8.0, 12.0).await;
    simulation.set_faults(|faults| {
        faults.delay_next_write = Some(DelayedWrite {
            key_prefix: "f/",
            delay_s: 18.0,
        })
    });
    let is_delayed = eventually(60.0, async || {
        simulation
            .state
            .lock()
            .unwrap()
            .faults
            .delay_next_write
            .is_none()
    });
    assert!(is_delayed.await);
    // Two more tasks complete and are stored; then the delayed write is executed.
    sleep_s(19.0).await;
    simulation.crash_controller("n-a", &task_a);
    let (controller_b, _task_b) = simulation.start_controller("n-b");
    assert!(wait_until_done(&controller_b, &id).await);
    assert_eq!(count_starts(&simulation), 5, "a completed task ran again");
    simulation.assert_invariants();
}

// Two leaders crash within one worker lease while a machine is unreachable. An attempt of
// an earlier leader occupies its task, its capacity and its quota until it has certainly
// ended, or the task would run twice. If the attempt is still running when its machine
// becomes reachable again, it is kept.
#[tokio::test(start_paused = true)]
async fn leader_crashes_with_unreachable_machines_never_run_a_task_twice() {
    for (inbound_blocked, unreachable_s) in [(false, 3.0), (true, 3.0), (false, 40.0), (true, 40.0)]
    {
        let (simulation, [(_controller_a, task_a), (controller_b, task_b)], id) =
            start_with_two_long_tasks().await;
        let machine = simulation.state.lock().unwrap().starts[0].worker.clone();
        let set_unreachable = |unreachable| {
            if inbound_blocked {
                simulation.set_inbound_blocked(&machine, unreachable);
            } else {
                simulation.set_worker_partitioned(&machine, unreachable);
            }
        };
        set_unreachable(true);
        tokio::time::sleep(Duration::from_millis(500)).await;
        simulation.crash_controller("n-a", &task_a);
        assert!(eventually(LEASE_S, async || is_active_leader(&controller_b)).await);
        let (controller_c, _task_c) = simulation.start_controller("n-c");
        tokio::time::sleep(Duration::from_millis(500)).await;
        simulation.crash_controller("n-b", &task_b);
        sleep_s(unreachable_s).await;
        set_unreachable(false);
        assert!(
            wait_until_done(&controller_c, &id).await,
            "inbound blocked {inbound_blocked}, unreachable for {unreachable_s} s"
        );
        let restart_count = count_starts(&simulation) - 2;
        // Within its lease the task runs on; after that it is started again.
        assert_eq!(
            restart_count,
            usize::from(unreachable_s > LEASE_S),
            "inbound blocked {inbound_blocked}, unreachable for {unreachable_s} s"
        );
        simulation.assert_invariants();
    }
}

// Starts and stops are delayed for seconds on their way to a machine that hangs or whose
// agent restarts. When they arrive, the attempt may have been cleared or its task placed
// again: a delayed start must not run the task twice, nor run a cancelled one.
#[tokio::test(start_paused = true)]
async fn delayed_commands_to_hung_or_restarted_machine_break_no_invariant() {
    for seed in 0..24u64 {
        let (simulation, controller_a, _task_a) = start_with_leader().await;
        simulation.seed(seed);
        let first = submit_job(
            &simulation,
            &controller_a,
            1,
            4,
            4.0,
            2.0 + seed as f64 / 4.0,
        )
        .await;
        assert!(eventually(30.0, async || !simulation.booted_machines().is_empty()).await);
        simulation.set_faults(|faults| {
            faults.delayed_commands = RandomDelay {
                probability: 0.7,
                max_delay_s: LEASE_S * 0.8,
            }
        });
        let second = submit_job(&simulation, &controller_a, 2, 6, 2.0, 3.0).await;
        let third = submit_job(&simulation, &controller_a, 3, 2, 8.0, 60.0).await;
        tokio::time::sleep(Duration::from_millis(700 + 211 * seed)).await;
        let machine = simulation.booted_machines()
            [seed as usize % simulation.booted_machines().len()]
        .clone();
        match seed % 3 {
            0 => simulation.restart_agent(&machine),
            1 => simulation.set_hung(&machine, true),
            _ => cancel_until_confirmed(&simulation, &controller_a, &third, 5.0).await,
        }
        tokio::time::sleep(Duration::from_secs(seed % 13)).await;
        simulation.set_hung(&machine, false);
        if seed % 3 != 2 {
            cancel_until_confirmed(&simulation, &controller_a, &third, 5.0).await;
        }
        sleep_s(CANCEL_TIMEOUT_S).await;
        simulation.set_faults(|faults| faults.delayed_commands = RandomDelay::NONE);
        for id in [&first, &second] {
            assert!(wait_until_done(&controller_a, id).await, "seed {seed}");
        }
        simulation.assert_invariants();
    }
}

// The leader crashes between the completions of a job's tasks, which are far apart. The
// next leader must neither run a completed task again nor report the job as done before
// all its tasks are.
#[tokio::test(start_paused = true)]
async fn failover_between_task_completions_reruns_no_task() {
    for crash_after_s in [4.0, 14.0, 17.0, 27.0] {
        let (simulation, controller_a, task_a) = start_with_leader().await;
        // The team's quota allows two tasks at a time.
        let id = submit_job(&simulation, &controller_a, 1, 3, 8.0, 12.0).await;
        assert!(eventually(30.0, async || count_starts(&simulation) == 2).await);
        sleep_s(crash_after_s).await;
        simulation.crash_controller("n-a", &task_a);
        let (controller_b, _task_b) = simulation.start_controller("n-b");
        let done = eventually(120.0, async || {
            let is_done = query_status(&controller_b, &id).await == Some(JobStatus::Done);
            assert!(
                !is_done || simulation.all_tasks_completed(&id, 3),
                "the job is reported as done before all its tasks are"
            );
            is_done
        });
        assert!(done.await);
        assert_eq!(
            count_starts(&simulation),
            3,
            "crash after {crash_after_s} s"
        );
        simulation.assert_invariants();
    }
}

// The leader crashes when it knows of completions that are not stored yet. Workers must
// still report these to its successor, or the completed tasks would run again.
#[tokio::test(start_paused = true)]
async fn leader_crash_before_completions_are_stored_reruns_no_task() {
    let (simulation, controller_a, task_a) = start_with_leader().await;
    let id = submit_job(&simulation, &controller_a, 1, 3, 8.0, 12.0).await;
    simulation.set_faults(|faults| {
        faults.delay_next_write = Some(DelayedWrite {
            key_prefix: "f/",
            delay_s: 300.0,
        })
    });
    let both_known = eventually(60.0, async || {
        controller_a
            .with_cluster(|cluster| cluster.task_count(&id))
            .flatten()
            .map(|count| count.done)
            == Some(2)
    });
    assert!(both_known.await);
    simulation.crash_controller("n-a", &task_a);
    let (controller_b, _task_b) = simulation.start_controller("n-b");
    assert!(wait_until_done(&controller_b, &id).await);
    assert_eq!(count_starts(&simulation), 3, "a completed task ran again");
    simulation.assert_invariants();
}

// The leader is partitioned from the store and its peers, and a job is cancelled through
// its successor. A partitioned leader that answered users from its own state would report
// the job as active, before its fencing timeout or once the partition has healed.
#[tokio::test(start_paused = true)]
async fn leader_partitioned_from_store_and_peers_answers_no_stale_status() {
    let (simulation, [(controller_a, _task_a), (controller_b, _task_b)], id) =
        start_with_two_long_tasks().await;
    simulation.set_store_partitioned("n-a", true);
    assert!(eventually(LEASE_S, async || is_active_leader(&controller_b)).await);
    cancel_until_confirmed(&simulation, &controller_b, &id, 5.0).await;
    let was_answered = eventually(CANCEL_TIMEOUT_S + 5.0, async || {
        let reply = user_api::job_status(&controller_a, &id).await;
        assert!(reply.status() == 503, "{reply:?}");
        false
    });
    assert!(!was_answered.await);
    simulation.assert_invariants();
    simulation.set_faults(|faults| faults.store_partitioned.clear());
    for controller in [&controller_a, &controller_b] {
        let confirmed = eventually(LEASE_S, async || {
            let status = query_status(controller, &id).await;
            assert!(matches!(status, None | Some(JobStatus::Cancelled)));
            status.is_some()
        });
        assert!(confirmed.await);
    }
    assert_eq!(count_starts(&simulation), 2);
    simulation.assert_invariants();
}
