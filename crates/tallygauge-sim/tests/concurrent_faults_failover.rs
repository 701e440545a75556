//! Faults that coincide with a failover.

use std::{sync::Arc, time::Duration};
use tallygauge::{controller::Controller, user_api};
use tallygauge_protocol::users::JobStatus;
use tallygauge_sim::{
    CANCEL_TIMEOUT_S, FaultPoint, HEARTBEAT_INTERVAL_S, JobRequest, JobShape, LEASE_S, RandomDelay,
    Simulation, cancel_until_confirmed, count_starts, eventually, is_active_leader, query_status,
    reply_status, sleep_s, start_with_leader, submit_job, submit_job_with_shape,
    submit_until_accepted, wait_until_done,
};
use tokio::task::JoinHandle;

/// A controller and its background task.
type RunningController = (Arc<Controller>, JoinHandle<()>);

/// Crashes a controller.
fn crash(simulation: &Simulation, (controller, task): RunningController) {
    simulation.crash_controller(&controller.settings.node_name, &task);
}

/// Waits until a controller leads.
async fn wait_until_leader(controller: &Arc<Controller>) {
    assert!(eventually(LEASE_S * 4.0, async || is_active_leader(controller)).await);
}

/// Fills the quotas of both teams with long tasks, two per machine; returns the IDs of the
/// jobs.
async fn fill_team_quotas(simulation: &Simulation, controller: &Arc<Controller>) -> [String; 2] {
    let mut ids = Vec::new();
    for (number, team) in [(1, "t"), (2, "u")] {
        let shape = JobShape {
            tasks: 6,
            cpus: 4.0,
            run_s: CANCEL_TIMEOUT_S * 4.0,
            team,
            ..JobShape::default()
        };
        ids.push(submit_job_with_shape(simulation, controller, number, shape).await);
    }
    let both_full = eventually(90.0, async || {
        ids.iter().all(|id| simulation.running_task_count(id) == 4)
    })
    .await;
    assert!(both_full, "a team runs fewer tasks than its quota allows");
    [ids[0].clone(), ids[1].clone()]
}

// A new term begins about every twelve seconds, also while the store refuses all requests.
// No accepted job may be lost in any of the failovers.
#[tokio::test(start_paused = true)]
async fn ten_failovers_in_two_minutes_with_store_outages_complete_all_jobs() {
    for seed in 0..4u64 {
        let (simulation, controller_a, task) = start_with_leader().await;
        simulation.seed(seed);
        let mut leader: RunningController = (controller_a, task);
        let mut ids = Vec::new();
        for failover in 0..10u32 {
            let run_s = 6.0 + f64::from(failover) * 4.0;
            let submission = submit_job(&simulation, &leader.0, failover + 1, 3, 4.0, run_s);
            if let Ok(id) = tokio::time::timeout(Duration::from_secs(4), submission).await {
                ids.push(id);
            }
            let store_down = failover % 4 == 2;
            if store_down {
                simulation.set_store_down(true);
            }
            sleep_s(1.0 + seed as f64).await;
            crash(&simulation, leader);
            sleep_s(0.05 + 0.4 * seed as f64).await;
            leader = simulation.start_controller(["n-a", "n-b", "n-c"][failover as usize % 3]);
            sleep_s(6.0).await;
            if store_down {
                simulation.set_store_down(false);
            }
        }
        assert!(ids.len() >= 6, "only {} jobs were accepted", ids.len());
        for id in &ids {
            assert!(wait_until_done(&leader.0, id).await, "seed {seed}: {id}");
        }
        simulation.assert_invariants();
    }
}

// The leader crashes, and jobs are cancelled through the other controllers during each
// step of the next leader's recovery. A cancellation that the recovery missed would leave
// tasks running or start them again.
#[tokio::test(start_paused = true)]
async fn cancellation_during_failover_stops_tasks_for_good() {
    for delay_ms in [0u64, 40, 300, 1200, 2500, 4000] {
        let (simulation, controller_a, task) = start_with_leader().await;
        let (controller_b, _task_b) = simulation.start_controller("n-b");
        let (controller_c, _task_c) = simulation.start_controller("n-c");
        let mut ids = Vec::new();
        for n in 1..=6 {
            let id = submit_job(
                &simulation,
                &controller_a,
                n,
                2,
                1.0,
                CANCEL_TIMEOUT_S * 3.0,
            )
            .await;
            ids.push(id);
        }
        assert!(eventually(60.0, async || count_starts(&simulation) == 12).await);
        crash(&simulation, (controller_a, task));
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        for (n, id) in ids[..5].iter().enumerate() {
            cancel_until_confirmed(&simulation, [&controller_b, &controller_c][n % 2], id, 10.0)
                .await;
            tokio::time::sleep(Duration::from_millis(delay_ms / 4)).await;
        }
        sleep_s(CANCEL_TIMEOUT_S + 1.0).await;
        for id in &ids[..5] {
            assert_eq!(
                simulation.running_task_count(id),
                0,
                "delay {delay_ms} ms: {id}"
            );
        }
        assert!(wait_until_done(&controller_b, &ids[5]).await);
        assert_eq!(count_starts(&simulation), 12, "a task started again");
        simulation.assert_invariants();
    }
}

// Copies of all earlier heartbeats, of current and past agent incarnations, reach every
// controller before the election, during recovery or right after it. A new leader that
// applied them as current ones would lose tasks or run them twice.
#[tokio::test(start_paused = true)]
async fn replayed_heartbeats_during_election_break_no_invariant() {
    for replayed in ["before election", "during recovery", "after recovery"] {
        let (simulation, controller_a, task) = start_with_leader().await;
        simulation.set_faults(|faults| faults.capture_heartbeats = true);
        let id = submit_job(&simulation, &controller_a, 1, 4, 4.0, LEASE_S * 4.0).await;
        assert!(eventually(60.0, async || simulation.running_task_count(&id) == 4).await);
        // The lease of one worker expires, and its task is started again elsewhere.
        let machine = simulation.state.lock().unwrap().starts[0].worker.clone();
        simulation.set_worker_partitioned(&machine, true);
        sleep_s(LEASE_S * 1.5).await;
        simulation.set_worker_partitioned(&machine, false);
        assert!(
            eventually(LEASE_S * 4.0, async || simulation.running_task_count(&id)
                == 4)
            .await
        );
        simulation.set_faults(|faults| faults.capture_heartbeats = false);
        let (controller_b, _task_b) = simulation.start_controller("n-b");
        sleep_s(1.0).await;
        if replayed == "during recovery" {
            simulation.set_faults(|faults| {
                faults.pause_at = Some(FaultPoint::before_request("n-b", "GET /store?starts=p/"))
            });
        }
        crash(&simulation, (controller_a, task));
        match replayed {
            "before election" => assert!(simulation.replay_captured_heartbeats() > 10),
            "during recovery" => {
                assert!(eventually(LEASE_S, async || simulation.is_paused("n-b")).await);
                // The new leader has not listed the placements yet, but answers workers.
                simulation.resume("n-b");
                assert!(simulation.replay_captured_heartbeats() > 10);
            }
            _ => {
                wait_until_leader(&controller_b).await;
                assert!(simulation.replay_captured_heartbeats() > 10);
            }
        }
        wait_until_leader(&controller_b).await;
        assert!(
            wait_until_done(&controller_b, &id).await,
            "replayed {replayed}"
        );
        simulation.assert_invariants();
    }
}

// Heartbeats of the previous term reach the new leader only after it has acted on the
// recovered state. They list tasks that have ended since and lack newer ones: a leader
// that applied them as current ones would run tasks again.
#[tokio::test(start_paused = true)]
async fn heartbeat_delayed_past_recovery_reruns_no_task() {
    for delay_s in [0.5, 3.0, LEASE_S, LEASE_S * 2.0] {
        let (simulation, controller_a, task) = start_with_leader().await;
        let first = submit_job(&simulation, &controller_a, 1, 2, 8.0, 5.0).await;
        assert!(eventually(60.0, async || simulation.running_task_count(&first) == 2).await);
        simulation.set_faults(|faults| faults.capture_heartbeats = true);
        sleep_s(HEARTBEAT_INTERVAL_S * 3.0).await;
        simulation.set_faults(|faults| faults.capture_heartbeats = false);
        let second = submit_job(&simulation, &controller_a, 2, 2, 8.0, LEASE_S * 3.0).await;
        crash(&simulation, (controller_a, task));
        let (controller_b, _task_b) = simulation.start_controller("n-b");
        wait_until_leader(&controller_b).await;
        sleep_s(delay_s).await;
        assert!(simulation.replay_captured_heartbeats() > 0);
        for id in [&first, &second] {
            assert!(
                wait_until_done(&controller_b, id).await,
                "delay {delay_s} s"
            );
        }
        assert_eq!(count_starts(&simulation), 4, "a task ran again");
        simulation.assert_invariants();
    }
}

// Direct commands of a paused or crashed leader arrive after those of its successor.
// Workers have to reject them by their fencing token, or cancelled tasks would start again.
#[tokio::test(start_paused = true)]
async fn delayed_commands_of_deposed_leader_are_rejected() {
    for seed in 0..8u64 {
        let (simulation, controller_a, task) = start_with_leader().await;
        simulation.seed(seed);
        let (controller_b, _task_b) = simulation.start_controller("n-b");
        let first = submit_job(&simulation, &controller_a, 1, 4, 2.0, 12.0).await;
        assert!(eventually(60.0, async || !simulation.booted_machines().is_empty()).await);
        simulation.set_faults(|faults| {
            faults.delayed_commands = RandomDelay {
                probability: 0.8,
                max_delay_s: LEASE_S * 1.4,
            }
        });
        let second = submit_job(&simulation, &controller_a, 2, 4, 2.0, 20.0).await;
        let third = submit_job(&simulation, &controller_a, 3, 2, 2.0, 60.0).await;
        sleep_s(0.4 + 0.3 * seed as f64).await;
        let leader_is_paused = seed % 2 == 0;
        if leader_is_paused {
            simulation.pause("n-a");
        } else {
            crash(&simulation, (controller_a.clone(), task));
        }
        wait_until_leader(&controller_b).await;
        cancel_until_confirmed(&simulation, &controller_b, &third, 20.0).await;
        sleep_s(LEASE_S * 0.5).await;
        if leader_is_paused {
            simulation.resume("n-a");
        }
        sleep_s(CANCEL_TIMEOUT_S + 1.0).await;
        simulation.set_faults(|faults| faults.delayed_commands = RandomDelay::NONE);
        assert_eq!(simulation.running_task_count(&third), 0);
        for id in [&first, &second] {
            assert!(wait_until_done(&controller_b, id).await, "seed {seed}");
        }
        simulation.assert_invariants();
    }
}

// Both teams are at their quota, some machines are unreachable or hang, jobs of both
// teams are cancelled, and the leader crashes. A new leader that stopped counting an
// attempt against the quota before it has certainly ended would exceed the quota.
#[tokio::test(start_paused = true)]
async fn failover_with_teams_at_quota_and_unreachable_machines_keeps_quotas() {
    for (hangs, crash_first) in [(false, false), (false, true), (true, false), (true, true)] {
        let (simulation, controller_a, task) = start_with_leader().await;
        let (controller_b, _task_b) = simulation.start_controller("n-b");
        let ids = fill_team_quotas(&simulation, &controller_a).await;
        let machines = simulation.booted_machines();
        let affected: Vec<&String> = machines.iter().step_by(2).collect();
        let set_unreachable = |unreachable: bool| {
            for machine in &affected {
                if hangs {
                    simulation.set_hung(machine, unreachable);
                } else {
                    simulation.set_worker_partitioned(machine, unreachable);
                }
            }
        };
        set_unreachable(true);
        let third = submit_job(&simulation, &controller_b, 3, 4, 4.0, 5.0).await;
        if crash_first {
            crash(&simulation, (controller_a, task));
            cancel_until_confirmed(&simulation, &controller_b, &ids[0], 20.0).await;
            cancel_until_confirmed(&simulation, &controller_b, &ids[1], 20.0).await;
        } else {
            cancel_until_confirmed(&simulation, &controller_b, &ids[0], 20.0).await;
            sleep_s(0.3).await;
            crash(&simulation, (controller_a, task));
            cancel_until_confirmed(&simulation, &controller_b, &ids[1], 20.0).await;
        }
        wait_until_leader(&controller_b).await;
        sleep_s(LEASE_S * 0.7).await;
        set_unreachable(false);
        sleep_s(CANCEL_TIMEOUT_S + 1.0).await;
        for id in &ids {
            assert_eq!(
                simulation.running_task_count(id),
                0,
                "hangs {hangs}, crash first {crash_first}"
            );
        }
        assert!(
            wait_until_done(&controller_b, &third).await,
            "hangs {hangs}, crash first {crash_first}"
        );
        simulation.assert_invariants();
    }
}

// All controllers are down for longer than a worker lease, so that the leases of all
// workers expire. The next leader must start each task again once, and no task of the
// job that is cancelled meanwhile.
#[tokio::test(start_paused = true)]
async fn all_controllers_down_past_worker_lease_restart_tasks_once() {
    for outage_s in [LEASE_S * 1.2, LEASE_S * 4.0] {
        let (simulation, controller_a, task) = start_with_leader().await;
        let ids = fill_team_quotas(&simulation, &controller_a).await;
        crash(&simulation, (controller_a, task));
        sleep_s(outage_s).await;
        assert_eq!(
            simulation.running_task_count(&ids[0]),
            0,
            "tasks run on after their leases have expired"
        );
        let (controller_b, _task_b) = simulation.start_controller("n-b");
        let (controller_c, _task_c) = simulation.start_controller("n-c");
        cancel_until_confirmed(&simulation, &controller_c, &ids[1], LEASE_S * 3.0).await;
        assert!(wait_until_done(&controller_b, &ids[0]).await);
        assert_eq!(
            query_status(&controller_b, &ids[1]).await,
            Some(JobStatus::Cancelled)
        );
        simulation.assert_invariants();
    }
}

// The leader and half of the machines are partitioned from the store and the rest. Their
// tasks run until that leader fences itself; a successor that started them elsewhere
// earlier would run them twice.
#[tokio::test(start_paused = true)]
async fn zone_partition_with_leader_past_worker_lease_runs_no_task_twice() {
    for partition_s in [LEASE_S * 1.5, LEASE_S * 4.0] {
        let (simulation, controller_a, _task_a) = start_with_leader().await;
        let (controller_b, _task_b) = simulation.start_controller("n-b");
        let ids = fill_team_quotas(&simulation, &controller_a).await;
        let machines = simulation.booted_machines();
        simulation.set_faults(|faults| {
            faults.store_partitioned.insert("n-a".into());
            for (n, machine) in machines.into_iter().enumerate() {
                let controller = if n % 2 == 0 { "n-a" } else { "n-b" };
                faults.exclusive_links.insert(machine, controller.into());
            }
        });
        wait_until_leader(&controller_b).await;
        cancel_until_confirmed(&simulation, &controller_b, &ids[0], 10.0).await;
        sleep_s(partition_s).await;
        simulation.set_faults(|faults| {
            faults.store_partitioned.clear();
            faults.exclusive_links.clear();
        });
        sleep_s(CANCEL_TIMEOUT_S).await;
        assert_eq!(simulation.running_task_count(&ids[0]), 0);
        assert!(
            wait_until_done(&controller_b, &ids[1]).await,
            "partitioned for {partition_s} s"
        );
        simulation.assert_invariants();
    }
}

// The store answers slowly, then refuses only the leader, then all controllers for longer
// than the cancellation timeout, while users cancel jobs and poll. Without the store no
// controller can know whether a job is cancelled, so none may confirm it.
#[tokio::test(start_paused = true)]
async fn slow_then_refusing_store_confirms_no_unknown_cancellation() {
    for link_delay_s in [0.1, 0.3, 0.7] {
        let (simulation, controller_a, _task_a) = start_with_leader().await;
        let (controller_b, _task_b) = simulation.start_controller("n-b");
        let ids = fill_team_quotas(&simulation, &controller_a).await;
        simulation.set_faults(|faults| faults.link_delay_s = link_delay_s);
        sleep_s(LEASE_S * 0.5).await;
        simulation.set_store_refuses("n-a", true);
        cancel_until_confirmed(&simulation, &controller_b, &ids[0], 20.0).await;
        simulation.set_store_down(true);
        for _ in 0..30 {
            for controller in [&controller_a, &controller_b] {
                let reply = user_api::cancel(controller, &ids[1]).await;
                let status = reply_status(&reply);
                assert!(
                    status.is_none(),
                    "status reported without the store: {status:?}"
                );
                let status = query_status(controller, &ids[0]).await;
                assert!(matches!(status, None | Some(JobStatus::Cancelled)));
            }
            sleep_s(CANCEL_TIMEOUT_S / 20.0).await;
        }
        assert_eq!(simulation.running_task_count(&ids[0]), 0);
        simulation.set_store_down(false);
        simulation.set_store_refuses("n-a", false);
        simulation.set_faults(|faults| faults.link_delay_s = 0.003);
        cancel_until_confirmed(&simulation, &controller_a, &ids[1], 30.0).await;
        sleep_s(CANCEL_TIMEOUT_S + 1.0).await;
        assert_eq!(simulation.running_task_count(&ids[1]), 0);
        simulation.assert_invariants();
    }
}

// A leader is paused just before it sends a placement write, and resumes after another
// controller was elected. The write must fail on its term condition, or the task would be
// placed twice; the simulated store records a violation if it does not.
#[tokio::test(start_paused = true)]
async fn placement_write_from_previous_term_is_rejected() {
    let (simulation, controller_a, _task_a) = start_with_leader().await;
    let (controller_b, _task_b) = simulation.start_controller("n-b");
    let first = submit_job(&simulation, &controller_b, 1, 1, 1.0, 2.0).await;
    assert!(wait_until_done(&controller_b, &first).await);
    let JobRequest { id: second, body } = simulation.job(2, 2, 4.0, 5.0);
    simulation.set_faults(|faults| {
        faults.pause_at = Some(FaultPoint::before_request("n-a", "POST /multi"))
    });
    submit_until_accepted(&controller_b, &body).await;
    assert!(eventually(LEASE_S, async || simulation.is_paused("n-a")).await);
    wait_until_leader(&controller_b).await;
    simulation.resume("n-a");
    assert!(eventually(LEASE_S, async || !is_active_leader(&controller_a)).await);
    assert!(wait_until_done(&controller_b, &second).await);
    simulation.assert_invariants();
}
