//! Failover: election, fencing of deposed leaders and what the next leader restores.

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

#[tokio::test(start_paused = true)]
async fn failover_does_not_restart_task_of_silent_worker_before_its_lease_expires() {
    let (simulation, controller_a, task) = start_with_leader().await;
    let id = submit_job(&simulation, &controller_a, 1, 1, 8.0, 200.0).await;
    assert!(eventually(60.0, async || count_starts(&simulation) > 0).await);
    sleep_s(2.0).await;
    let worker = simulation.state.lock().unwrap().starts[0].worker.clone();
    // Leader and worker fail together; the worker's task runs on for its lease.
    simulation.set_silent(&worker, true);
    let silent_at = simulation.now();
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
    let again = simulation.state.lock().unwrap().starts[1].started_at;
    assert!(
        again > silent_at + LEASE_S - 1.5,
        "again {:.1} s after",
        again - silent_at
    );
    assert_eq!(
        query_status(&controller_b, &id).await,
        Some(JobStatus::Running)
    );
    simulation.assert_invariants();
}

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
    // Only the store is unreachable.
    simulation.set_store_partitioned("n-a", true);
    let (controller_b, _task_b) = simulation.start_controller("n-b");
    assert!(eventually(60.0, async || is_active_leader(&controller_b)).await);
    // Its workers carry the new fencing token, from which it learns of the next term.
    assert!(eventually(20.0, async || !is_active_leader(&controller_a)).await);
    let late = Transaction {
        conditions: vec![deposed_term],
        writes: vec![Write::Set {
            key: "p/late".into(),
            value: serde_json::json!({}),
            lease: None,
        }],
    };
    let outcome = controller_b
        .store
        .transact(RequestPriority::Placement, &late)
        .await
        .unwrap();
    assert!(matches!(outcome, TransactionOutcome::Conflict { .. }));
    sleep_s(20.0).await;
    // The running tasks went on: nothing was started a second time.
    assert_eq!(count_starts(&simulation), 2);
    simulation.assert_invariants();
}

#[tokio::test(start_paused = true)]
async fn leader_unreachable_by_workers_yields_leadership_before_their_leases_expire() {
    let (simulation, controller_a, _task_a) = start_with_leader().await;
    let (controller_b, _task_b) = simulation.start_controller("n-b");
    submit_job(&simulation, &controller_a, 1, 2, 8.0, 60.0).await;
    assert!(eventually(60.0, async || count_starts(&simulation) == 2).await);
    assert!(!lacks_heartbeats(&controller_a));
    // Its workers are partitioned from it; the store is not.
    simulation.disconnect_controller("n-a");
    assert!(eventually(LEASE_S * 0.5, async || lacks_heartbeats(&controller_a)).await);
    assert!(
        has_recent_heartbeats(&controller_b),
        "they call on the other"
    );
    yield_leadership(&controller_a);
    assert!(eventually(5.0, async || is_active_leader(&controller_b)).await);
    sleep_s(30.0).await;
    assert!(!is_active_leader(&controller_a));
    assert_eq!(count_starts(&simulation), 2, "no lease ended");
    simulation.assert_invariants();
}

#[tokio::test(start_paused = true)]
async fn leader_without_confirmed_term_stops_answering_heartbeats() {
    let (simulation, controller_a, _task_a) = start_with_leader().await;
    submit_job(&simulation, &controller_a, 1, 1, 8.0, 500.0).await;
    assert!(eventually(60.0, async || count_starts(&simulation) > 0).await);
    simulation.set_store_partitioned("n-a", true);
    let cut_at = controller_a.now();
    let report = br#"{"bench":"x","endpoint":"x","build":"c8","site":"a","borrowed":false,"shift":1,"tick":9,"baton":0,"pieces":[]}"#;
    sleep_s(controller_a.fencing_timeout_s() * 0.5).await;
    assert!(
        matches!(
            handle_heartbeat(&controller_a, report),
            HeartbeatReply::Accepted(_)
        ),
        "too soon"
    );
    assert!(
        eventually(60.0, async || handle_heartbeat(&controller_a, report)
            == HeartbeatReply::Unavailable)
        .await
    );
    // The lease that the last answer renewed must expire before the timeout of a
    // cancellation made through another controller at the time of the partition.
    assert!(controller_a.now() - cut_at + LEASE_S < 20.0);
}

#[tokio::test(start_paused = true)]
async fn team_quota_holds_through_failovers_and_lost_responses() {
    let simulation = Simulation::new();
    tokio::spawn(simulation.clone().run_workers());
    let (mut leader, mut task) = simulation.start_controller("n-0");
    let id = submit_job(&simulation, &leader, 1, 24, 4.0, 7.0).await;
    for turn in 1..4 {
        sleep_s(9.0).await;
        simulation.set_faults(|faults| faults.lose_next_responses = 1);
        sleep_s(2.0).await;
        simulation.crash_controller(&leader.settings.node_name, &task);
        (leader, task) = simulation.start_controller(&format!("n-{turn}"));
    }
    assert!(
        eventually(300.0, async || query_status(&leader, &id).await
            == Some(JobStatus::Done))
        .await
    );
    simulation.assert_invariants();
}

#[tokio::test(start_paused = true)]
async fn follower_refuses_heartbeats_before_parsing_them() {
    // Without a leader all workers send to the remaining controllers, and processor
    // time spent on parsing their heartbeats is missing for users.
    let (_world, controller_a, _task) = start_with_leader().await;
    assert!(matches!(
        handle_heartbeat(&controller_a, b"{"),
        HeartbeatReply::Malformed(_)
    ));
    controller_a.step_down("as a test");
    assert_eq!(
        handle_heartbeat(&controller_a, b"{"),
        HeartbeatReply::Unavailable
    );
    controller_a.observe_term(99, Some("n-b"));
    assert!(
        matches!(handle_heartbeat(&controller_a, b"{"), HeartbeatReply::Redirected(r) if r.leader.as_deref() == Some("n-b"))
    );
}

// The minimum share counts completed jobs. If a restart of all controllers lost the
// counts, a class whose jobs were all served would be taken for one that got nothing.
#[tokio::test(start_paused = true)]
async fn service_counts_survive_restart_of_all_controllers() {
    let completed_counts = |controller: &tallygauge::controller::Controller| {
        let all = controller.with_cluster(|cluster| {
            let groups = cluster.group_statuses();
            let all = groups.iter().filter(|s| s.key.kind != GroupKind::Largest);
            all.map(|s| s.counts.done).collect::<Vec<u64>>()
        });
        all.unwrap_or_default()
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
        "its class and its team"
    );
    sleep_s(HEARTBEAT_INTERVAL_S * 6.0).await;
    simulation.crash_controller("n-a", &task);
    let (controller_b, task) = simulation.start_controller("n-b");
    assert!(eventually(30.0, async || is_active_leader(&controller_b)).await);
    assert_eq!(completed_counts(&controller_b), [2, 2]);
    // A record that can't be parsed does not keep a controller from leading.
    simulation.crash_controller("n-b", &task);
    let torn = Transaction {
        conditions: Vec::new(),
        writes: vec![Write::Set {
            key: "s/floor".into(),
            value: serde_json::json!({"v": 1, "c": "torn"}),
            lease: None,
        }],
    };
    controller_b
        .store
        .transact(RequestPriority::Placement, &torn)
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
        "counting began anew"
    );
}
