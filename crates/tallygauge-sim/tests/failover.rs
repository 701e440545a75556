//! Failover: election, fencing of deposed leaders, and the state that the next leader
//! restores.

use tallygauge::{
    leader::yield_leadership,
    worker_api::{HeartbeatReply, handle_heartbeat, has_recent_heartbeats, lacks_heartbeats},
};
use tallygauge_protocol::{
    state::{Transaction, Write},
    users::JobStatus,
};
use tallygauge_scheduler::GroupKind;
use tallygauge_sim::{
    HEARTBEAT_INTERVAL_S, LEASE_S, Simulation, count_starts, eventually, is_active_leader,
    query_status, sleep_s, start_with_leader, submit_job,
};
use tallygauge_store::{RequestPriority, TransactionOutcome};

// The leader crashes and a worker is partitioned at the same time. The worker's task runs
// on until its lease expires; a next leader that restarts the task earlier runs it twice.
#[tokio::test(start_paused = true)]
async fn failover_does_not_restart_task_of_partitioned_worker_before_its_lease_expires() {
    let (simulation, controller_a, task) = start_with_leader().await;
    let id = submit_job(&simulation, &controller_a, 1, 1, 8.0, 200.0).await;
    assert!(eventually(60.0, async || count_starts(&simulation) > 0).await);
    sleep_s(2.0).await;
    let worker = simulation.state.lock().unwrap().starts[0].worker.clone();
    simulation.set_worker_partitioned(&worker, true);
    let partitioned_at = simulation.now();
    simulation.crash_controller("n-a", &task);
    let (controller_b, _task) = simulation.start_controller("n-b");
    assert!(
        eventually(120.0, async || simulation
            .state
            .lock()
            .unwrap()
            .starts
            .len()
            == 2)
        .await
    );
    let restarted_at = simulation.state.lock().unwrap().starts[1].started_at;
    assert!(
        restarted_at > partitioned_at + LEASE_S - 1.5,
        "restarted {:.1} s after the partition",
        restarted_at - partitioned_at
    );
    assert_eq!(
        query_status(&controller_b, &id).await,
        Some(JobStatus::Running)
    );
    simulation.assert_invariants();
}

// The leader is partitioned from the store, but not from its workers, and another
// controller is elected. If the deposed leader still wrote or sent commands, tasks could
// be placed twice.
#[tokio::test(start_paused = true)]
async fn deposed_leader_can_neither_write_nor_command_workers() {
    let (simulation, controller_a, _task_a) = start_with_leader().await;
    submit_job(&simulation, &controller_a, 1, 2, 8.0, 60.0).await;
    assert!(eventually(60.0, async || count_starts(&simulation) == 2).await);
    let deposed_term = controller_a
        .leadership
        .lock()
        .as_ref()
        .unwrap()
        .term_condition
        .clone();
    // The leader still reaches its workers.
    simulation.set_store_partitioned("n-a", true);
    let (controller_b, _task_b) = simulation.start_controller("n-b");
    assert!(eventually(60.0, async || is_active_leader(&controller_b)).await);
    // Heartbeats carry the fencing token of the next term, by which the deposed leader
    // learns of that term.
    assert!(eventually(20.0, async || !is_active_leader(&controller_a)).await);
    let late_write = Transaction {
        conditions: vec![deposed_term],
        writes: vec![Write::Set {
            key: "p/late".into(),
            value: serde_json::json!({}),
            lease: None,
        }],
    };
    let outcome = controller_b
        .store
        .transact(RequestPriority::Placement, &late_write)
        .await
        .unwrap();
    assert!(matches!(outcome, TransactionOutcome::Conflict { .. }));
    sleep_s(20.0).await;
    // The running tasks were kept: nothing was started a second time.
    assert_eq!(count_starts(&simulation), 2);
    simulation.assert_invariants();
}

// The leader reaches the store but not its workers. If it kept the leadership, their
// leases would expire, and their tasks would be started again elsewhere.
#[tokio::test(start_paused = true)]
async fn leader_unreachable_by_workers_yields_leadership_before_their_leases_expire() {
    let (simulation, controller_a, _task_a) = start_with_leader().await;
    let (controller_b, _task_b) = simulation.start_controller("n-b");
    submit_job(&simulation, &controller_a, 1, 2, 8.0, 60.0).await;
    assert!(eventually(60.0, async || count_starts(&simulation) == 2).await);
    assert!(!lacks_heartbeats(&controller_a));
    // The leader is partitioned from its workers, but not from the store.
    simulation.disconnect_controller("n-a");
    assert!(eventually(LEASE_S * 0.5, async || lacks_heartbeats(&controller_a)).await);
    assert!(
        has_recent_heartbeats(&controller_b),
        "no heartbeats have reached the other controller"
    );
    yield_leadership(&controller_a);
    assert!(eventually(5.0, async || is_active_leader(&controller_b)).await);
    sleep_s(30.0).await;
    assert!(!is_active_leader(&controller_a));
    assert_eq!(count_starts(&simulation), 2, "a worker lease expired");
    simulation.assert_invariants();
}

// A leader that the store no longer confirms may have been replaced, and cancellations
// made through its successor don't reach it. If it went on renewing worker leases,
// cancelled tasks would run past the cancellation timeout.
#[tokio::test(start_paused = true)]
async fn leader_without_confirmed_term_stops_answering_heartbeats() {
    let (simulation, controller_a, _task_a) = start_with_leader().await;
    submit_job(&simulation, &controller_a, 1, 1, 8.0, 500.0).await;
    assert!(eventually(60.0, async || count_starts(&simulation) > 0).await);
    simulation.set_store_partitioned("n-a", true);
    let partitioned_at = controller_a.now();
    let heartbeat = br#"{"bench":"x","endpoint":"x","build":"c8","site":"a","borrowed":false,"shift":1,"tick":9,"baton":0,"pieces":[]}"#;
    sleep_s(controller_a.fencing_timeout_s() * 0.5).await;
    assert!(
        matches!(
            handle_heartbeat(&controller_a, heartbeat).await,
            HeartbeatReply::Accepted(_)
        ),
        "heartbeats are refused before the fencing timeout"
    );
    assert!(
        eventually(60.0, async || handle_heartbeat(&controller_a, heartbeat)
            .await
            == HeartbeatReply::Unavailable)
        .await
    );
    // A job may be cancelled through another controller at the time of the partition: the
    // worker lease renewed by the last reply must expire before that cancellation times out.
    assert!(controller_a.now() - partitioned_at + LEASE_S < 20.0);
}

// Store responses are lost shortly before each crash of the leader. A next leader that
// misses attempts of the previous one would start more tasks than the team's quota allows.
#[tokio::test(start_paused = true)]
async fn team_quota_holds_through_failovers_and_lost_responses() {
    let simulation = Simulation::new();
    tokio::spawn(simulation.clone().run_workers());
    let (mut leader, mut task) = simulation.start_controller("n-0");
    let id = submit_job(&simulation, &leader, 1, 24, 4.0, 7.0).await;
    for restart in 1..4 {
        sleep_s(9.0).await;
        simulation.set_faults(|faults| faults.lose_next_responses = 1);
        sleep_s(2.0).await;
        simulation.crash_controller(&leader.settings.node_name, &task);
        (leader, task) = simulation.start_controller(&format!("n-{restart}"));
    }
    assert!(
        eventually(300.0, async || query_status(&leader, &id).await
            == Some(JobStatus::Done))
        .await
    );
    simulation.assert_invariants();
}

// While there is no leader, all workers send their heartbeats to the remaining
// controllers. CPU time spent on parsing those heartbeats would delay user requests.
#[tokio::test(start_paused = true)]
async fn follower_refuses_heartbeats_before_parsing_them() {
    let (_simulation, controller_a, _task) = start_with_leader().await;
    assert!(matches!(
        handle_heartbeat(&controller_a, b"{").await,
        HeartbeatReply::Malformed(_)
    ));
    controller_a.step_down("requested by the test");
    assert_eq!(
        handle_heartbeat(&controller_a, b"{").await,
        HeartbeatReply::Unavailable
    );
    controller_a.observe_term(99, Some("n-b"));
    assert!(
        matches!(handle_heartbeat(&controller_a, b"{").await, HeartbeatReply::Redirected(r) if r.leader.as_deref() == Some("n-b"))
    );
}

// The minimum share is computed from counts of completed jobs. If a restart of all
// controllers lost these counts, a class whose jobs were all served would be treated as
// one that got no service.
#[tokio::test(start_paused = true)]
async fn service_counts_survive_restart_of_all_controllers() {
    let completed_counts = |controller: &tallygauge::controller::Controller| {
        let counts = controller.with_cluster(|cluster| {
            let statuses = cluster.group_statuses();
            let counted = statuses.iter().filter(|s| s.key.kind != GroupKind::Largest);
            counted.map(|s| s.counts.done).collect::<Vec<u64>>()
        });
        counts.unwrap_or_default()
    };
    let (simulation, controller_a, task) = start_with_leader().await;
    for n in 1..=2 {
        let id = submit_job(&simulation, &controller_a, n, 2, 2.0, 3.0).await;
        assert!(
            eventually(60.0, async || query_status(&controller_a, &id).await
                == Some(JobStatus::Done))
            .await
        );
    }
    assert_eq!(
        completed_counts(&controller_a),
        [2, 2],
        "counts of the class and of the team"
    );
    sleep_s(HEARTBEAT_INTERVAL_S * 6.0).await;
    simulation.crash_controller("n-a", &task);
    let (controller_b, task) = simulation.start_controller("n-b");
    assert!(eventually(30.0, async || is_active_leader(&controller_b)).await);
    assert_eq!(completed_counts(&controller_b), [2, 2]);
    // A record that can't be parsed does not prevent a controller from leading.
    simulation.crash_controller("n-b", &task);
    let unreadable = Transaction {
        conditions: Vec::new(),
        writes: vec![Write::Set {
            key: "s/floor".into(),
            value: serde_json::json!({"v": 1, "c": "torn"}),
            lease: None,
        }],
    };
    controller_b
        .store
        .transact(RequestPriority::Placement, &unreadable)
        .await
        .unwrap();
    let (controller_c, _task) = simulation.start_controller("n-c");
    assert!(eventually(30.0, async || is_active_leader(&controller_c)).await);
    let id = submit_job(&simulation, &controller_c, 3, 2, 2.0, 3.0).await;
    assert!(
        eventually(60.0, async || query_status(&controller_c, &id).await
            == Some(JobStatus::Done))
        .await
    );
    assert_eq!(
        completed_counts(&controller_c),
        [1, 1],
        "the counts did not start again from zero"
    );
}
