//! The controller against stand-ins, in simulated time.

use std::{sync::Arc, time::Duration};
use tallygauge::{
    leader::yield_leadership,
    user_api,
    worker_api::{HeartbeatReply, handle_heartbeat, has_recent_heartbeats, lacks_heartbeats},
};
use tallygauge_protocol::{
    state::{Transaction, Write},
    users::JobStatus,
};
use tallygauge_scheduler::GroupKind;
use tallygauge_sim::{
    HEARTBEAT_INTERVAL_S, LEASE_S, RelayTo, Simulation, count_starts, eventually, is_active_leader,
    query_status, reply_status, start_with_leader, submit_until_accepted,
};
use tallygauge_store::{RequestPriority, TransactionOutcome};
use warp::http::Method;

#[tokio::test(start_paused = true)]
async fn a_job_runs_from_end_to_end() {
    let simulation = Simulation::new();
    tokio::spawn(simulation.clone().run_workers());
    let (a, _task) = simulation.start_controller("n-a");
    let (b, _other) = simulation.start_controller("n-b");
    let (id, body) = simulation.job(1, 6, 2.0, 5.0);
    submit_until_accepted(&a, &body).await;
    // Accepted means known to every controller.
    assert!(query_status(&b, &id).await.is_some());
    assert!(
        eventually(60.0, async || query_status(&b, &id).await
            == Some(JobStatus::Done))
        .await
    );
    // A repeat and a late cancellation get the job's end, not a new start.
    let again = user_api::submit(&a, &body).await;
    assert_eq!(
        (again.status(), reply_status(&again)),
        (200, Some(JobStatus::Done))
    );
    assert_eq!(
        reply_status(&user_api::cancel(&b, &id).await),
        Some(JobStatus::Done)
    );
    // A known job is answered for even when the repeat is malformed.
    let bad = br#"{"nameId":"req-000001","pieces":"many"}"#;
    assert_eq!(user_api::submit(&b, bad).await.status(), 200);
    let unknown = br#"{"nameId":"req-000002","pieces":"many"}"#;
    assert_eq!(user_api::submit(&b, unknown).await.status(), 400);
    assert_eq!(user_api::job_status(&b, "req-000002").await.status(), 404);
    assert_eq!(user_api::cancel(&b, "req-000002").await.status(), 404);
    assert_eq!(simulation.state.lock().unwrap().starts.len(), 6);
    simulation.assert_rules();
}

#[tokio::test(start_paused = true)]
async fn a_take_over_does_not_start_the_task_of_a_silent_worker_again_too_soon() {
    let (simulation, a, task) = start_with_leader().await;
    let (id, body) = simulation.job(1, 1, 8.0, 200.0);
    submit_until_accepted(&a, &body).await;
    assert!(eventually(60.0, async || count_starts(&simulation) > 0).await);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let worker = simulation.state.lock().unwrap().starts[0].2.clone();
    // Leader and worker go at once; the worker's task runs on for its lease.
    simulation.set_silent(&worker, true);
    let silent_at = simulation.now();
    simulation.crash_controller("n-a", &task);
    let (b, _task) = simulation.start_controller("n-b");
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
    let again = simulation.state.lock().unwrap().starts[1].0;
    assert!(
        again > silent_at + LEASE_S - 1.5,
        "again {:.1} s after",
        again - silent_at
    );
    assert_eq!(query_status(&b, &id).await, Some(JobStatus::Running));
    simulation.assert_rules();
}

#[tokio::test(start_paused = true)]
async fn a_deposed_leader_can_neither_write_nor_command() {
    let (simulation, a, _task_a) = start_with_leader().await;
    let (_, body) = simulation.job(1, 2, 8.0, 60.0);
    submit_until_accepted(&a, &body).await;
    assert!(eventually(60.0, async || count_starts(&simulation) == 2).await);
    let old = a
        .lock(&a.leadership)
        .as_ref()
        .unwrap()
        .term_condition
        .clone();
    // Refused by the state service alone.
    simulation
        .state
        .lock()
        .unwrap()
        .partitioned
        .insert("n-a".into());
    let (b, _task_b) = simulation.start_controller("n-b");
    assert!(eventually(60.0, async || is_active_leader(&b)).await);
    // Its workers carry the new token: it learns from them and gives up.
    assert!(eventually(20.0, async || !is_active_leader(&a)).await);
    let late = Transaction {
        conditions: vec![old],
        writes: vec![Write::Set {
            key: "p/late".into(),
            value: serde_json::json!({}),
            lease: None,
        }],
    };
    let outcome = b
        .store
        .transact(RequestPriority::Placement, &late)
        .await
        .unwrap();
    assert!(matches!(outcome, TransactionOutcome::Conflict(_)));
    tokio::time::sleep(Duration::from_secs(20)).await;
    // What ran went on: nothing was started a second time.
    assert_eq!(simulation.state.lock().unwrap().starts.len(), 2);
    simulation.assert_rules();
}

#[tokio::test(start_paused = true)]
async fn a_leader_that_workers_cannot_reach_gives_way_before_their_leases_end() {
    let (simulation, a, _task_a) = start_with_leader().await;
    let (b, _task_b) = simulation.start_controller("n-b");
    let (_, body) = simulation.job(1, 2, 8.0, 60.0);
    submit_until_accepted(&a, &body).await;
    assert!(eventually(60.0, async || count_starts(&simulation) == 2).await);
    assert!(!lacks_heartbeats(&a));
    // Its workers are cut off from it; the state service is not.
    simulation.disconnect_controller("n-a");
    assert!(eventually(LEASE_S * 0.5, async || lacks_heartbeats(&a)).await);
    assert!(has_recent_heartbeats(&b), "they call on the other");
    yield_leadership(&a);
    assert!(eventually(5.0, async || is_active_leader(&b)).await);
    tokio::time::sleep(Duration::from_secs(30)).await;
    assert!(!is_active_leader(&a));
    assert_eq!(
        simulation.state.lock().unwrap().starts.len(),
        2,
        "no lease ended"
    );
    simulation.assert_rules();
}

#[tokio::test(start_paused = true)]
async fn a_leader_without_a_confirmed_term_stops_answering_workers() {
    let (simulation, a, _task_a) = start_with_leader().await;
    let (_, body) = simulation.job(1, 1, 8.0, 500.0);
    submit_until_accepted(&a, &body).await;
    assert!(eventually(60.0, async || count_starts(&simulation) > 0).await);
    simulation
        .state
        .lock()
        .unwrap()
        .partitioned
        .insert("n-a".into());
    let cut_at = a.now();
    let report = br#"{"bench":"x","endpoint":"x","build":"c8","site":"a","borrowed":false,"shift":1,"tick":9,"baton":0,"pieces":[]}"#;
    tokio::time::sleep(Duration::from_secs_f64(a.fence_s() * 0.5)).await;
    assert!(
        matches!(handle_heartbeat(&a, report), HeartbeatReply::Accepted(_)),
        "too soon"
    );
    assert!(
        eventually(60.0, async || handle_heartbeat(&a, report)
            == HeartbeatReply::Unavailable)
        .await
    );
    // The last answer must end within a lease, and all of it before a
    // cancellation made elsewhere at the time of the cut is due.
    assert!(a.now() - cut_at + LEASE_S < 20.0);
}

#[tokio::test(start_paused = true)]
async fn cancelling_while_the_job_ends_gives_one_answer_for_good() {
    for offset in 0..12u32 {
        let simulation = Simulation::new();
        tokio::spawn(simulation.clone().run_workers());
        let (a, _task_a) = simulation.start_controller("n-a");
        let (b, _task_b) = simulation.start_controller("n-b");
        let (id, body) = simulation.job(1, 1, 1.0, 5.0);
        submit_until_accepted(&a, &body).await;
        assert!(eventually(60.0, async || count_starts(&simulation) > 0).await);
        tokio::time::sleep(Duration::from_millis(4700 + u64::from(offset) * 120)).await;
        let mut told = None;
        assert!(
            eventually(10.0, async || {
                told = reply_status(&user_api::cancel(&b, &id).await);
                told.is_some()
            })
            .await
        );
        assert!(matches!(told, Some(JobStatus::Done | JobStatus::Cancelled)));
        tokio::time::sleep(Duration::from_secs(5)).await;
        for controller in [&a, &b] {
            assert_eq!(query_status(controller, &id).await, told, "offset {offset}");
        }
        let state = simulation.state.lock().unwrap();
        assert!(state.violations.is_empty(), "{:?}", state.violations);
    }
}

#[tokio::test(start_paused = true)]
async fn a_cancelled_job_starts_no_more_tasks_and_leaves_the_machines() {
    let simulation = Simulation::new();
    tokio::spawn(simulation.clone().run_workers());
    let (a, _task_a) = simulation.start_controller("n-a");
    let (b, _task_b) = simulation.start_controller("n-b");
    let (id, body) = simulation.job(1, 8, 4.0, 30.0);
    submit_until_accepted(&a, &body).await;
    assert!(eventually(60.0, async || count_starts(&simulation) == 4).await);
    assert_eq!(
        reply_status(&user_api::cancel(&b, &id).await),
        Some(JobStatus::Cancelled)
    );
    let before = simulation.state.lock().unwrap().starts.len();
    // Room comes back only when the stops are confirmed.
    let (other, next) = simulation.job(2, 4, 4.0, 3.0);
    submit_until_accepted(&b, &next).await;
    assert!(
        eventually(30.0, async || query_status(&a, &other).await
            == Some(JobStatus::Done))
        .await
    );
    let state = simulation.state.lock().unwrap();
    let later = &state.starts[before..];
    assert!(later.iter().all(|s| s.1.starts_with(&other)), "{later:?}");
    assert!(state.violations.is_empty(), "{:?}", state.violations);
}

#[tokio::test(start_paused = true)]
async fn a_leader_that_has_not_heard_of_a_cancellation_starts_nothing_of_the_job() {
    let (simulation, a, _task_a) = start_with_leader().await;
    let (b, _task_b) = simulation.start_controller("n-b");
    let (id, body) = simulation.job(1, 8, 4.0, 3.0);
    submit_until_accepted(&b, &body).await;
    assert!(eventually(60.0, async || count_starts(&simulation) == 4).await);
    simulation.state.lock().unwrap().hang_job_watches = true;
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(
        reply_status(&user_api::cancel(&b, &id).await),
        Some(JobStatus::Cancelled)
    );
    assert!(a.with_cluster(|c| c.jobs.contains_key(&id)).unwrap());
    // Room for the rest comes free, but its placement requires the record.
    tokio::time::sleep(Duration::from_secs(6)).await;
    let done = a.with_cluster(|c| c.task_counts(&id)).flatten();
    assert_eq!(
        (count_starts(&simulation), done),
        (4, None),
        "it learned from the refusal"
    );
    simulation.assert_rules();
}

#[tokio::test(start_paused = true)]
async fn answers_cut_short_are_taken_as_none() {
    let simulation = Simulation::new();
    tokio::spawn(simulation.clone().run_workers());
    let (a, _task_a) = simulation.start_controller("n-a");
    let (id, body) = simulation.job(1, 8, 4.0, 6.0);
    submit_until_accepted(&a, &body).await;
    assert!(eventually(60.0, async || count_starts(&simulation) > 0).await);
    // From here on every transaction is made, and none is answered well.
    simulation.state.lock().unwrap().truncate_responses = true;
    let (other, next) = simulation.job(2, 1, 1.0, 1.0);
    for _ in 0..10 {
        tokio::time::sleep(Duration::from_millis(500)).await;
        assert_eq!(user_api::submit(&a, &next).await.status(), 503);
        assert_eq!(user_api::job_status(&a, "req-000077").await.status(), 503);
        assert!(matches!(
            handle_heartbeat(&a, b"{\"bench\":\"x\""),
            HeartbeatReply::Malformed(_)
        ));
    }
    simulation.state.lock().unwrap().truncate_responses = false;
    for job in [&id, &other] {
        assert!(
            eventually(120.0, async || query_status(&a, job).await
                == Some(JobStatus::Done))
            .await
        );
    }
    simulation.assert_rules();
}

#[tokio::test(start_paused = true)]
async fn a_node_that_the_state_service_refuses_serves_users_through_another() {
    // Its users got 503 for as long as it was refused, a third of all there
    // were, though every other controller could have answered them.
    let (simulation, a, _task_a) = start_with_leader().await;
    let (b, _task_b) = simulation.start_controller("n-b");
    assert!(eventually(30.0, async || b.lock(&b.catalogue).is_some()).await);
    *b.lock(&b.relay) = Some(Arc::new(RelayTo(a.clone())));
    simulation
        .state
        .lock()
        .unwrap()
        .partitioned
        .insert("n-b".into());
    let (id, body) = simulation.job(1, 2, 8.0, 5.0);
    let path = format!("/work/{id}");
    let ask = async |method: Method, path: &str, body: &[u8]| {
        let began = b.now();
        let reply = user_api::serve(&b, &method, path, body).await.unwrap();
        (reply.status(), b.now() - began)
    };
    // The first has to find out.
    let _ = ask(Method::POST, "/work", &body).await;
    assert_eq!(ask(Method::POST, "/work", &body).await.0, 200);
    assert_eq!(ask(Method::GET, &path, b"").await.0, 200);
    assert_eq!(ask(Method::GET, "/work/req-000009", b"").await.0, 404);
    assert!(ask(Method::GET, &path, b"").await.1 < 0.2);
    let abort = format!("{path}/abort");
    assert_eq!(ask(Method::POST, &abort, b"").await.0, 200);
    // When no controller is served, the answer is 503, while the user still waits.
    simulation
        .state
        .lock()
        .unwrap()
        .partitioned
        .insert("n-a".into());
    for _ in 0..3 {
        let (status, took) = ask(Method::GET, "/work/req-000008", b"").await;
        assert_eq!(status, 503);
        assert!(took < 2.0, "{took:.1} s");
    }
    let state = simulation.state.lock().unwrap();
    assert!(state.violations.is_empty(), "{:?}", state.violations);
}

#[tokio::test(start_paused = true)]
async fn a_submission_whose_answer_was_lost_is_kept_once() {
    let simulation = Simulation::new();
    let (a, _task_a) = simulation.start_controller("n-a");
    let (b, _task_b) = simulation.start_controller("n-b");
    assert!(eventually(30.0, async || is_active_leader(&a) || is_active_leader(&b)).await);
    assert!(eventually(30.0, async || b.lock(&b.catalogue).is_some()).await);
    let (id, body) = simulation.job(1, 1, 1.0, 5.0);
    simulation.state.lock().unwrap().lose_next_responses = 1;
    let reply = user_api::submit(&b, &body).await;
    assert_eq!(reply_status(&reply), Some(JobStatus::Pending), "{reply:?}");
    assert_eq!(query_status(&a, &id).await, Some(JobStatus::Pending));
    assert_eq!(user_api::submit(&a, &body).await.status(), 200);
}

#[tokio::test(start_paused = true)]
async fn a_team_keeps_its_limit_through_take_overs_and_lost_answers() {
    let simulation = Simulation::new();
    tokio::spawn(simulation.clone().run_workers());
    let (mut leader, mut task) = simulation.start_controller("n-0");
    let (id, body) = simulation.job(1, 24, 4.0, 7.0);
    submit_until_accepted(&leader, &body).await;
    for turn in 1..4 {
        tokio::time::sleep(Duration::from_secs(9)).await;
        simulation.state.lock().unwrap().lose_next_responses = 1;
        tokio::time::sleep(Duration::from_secs(2)).await;
        simulation.crash_controller(&leader.settings.node_name, &task);
        (leader, task) = simulation.start_controller(&format!("n-{turn}"));
    }
    assert!(
        eventually(300.0, async || query_status(&leader, &id).await
            == Some(JobStatus::Done))
        .await
    );
    simulation.assert_rules();
}

#[tokio::test(start_paused = true)]
async fn a_leader_that_lags_leaves_users_to_nodes_that_answer() {
    // Submissions taken by a leader that was behind waited up to a second,
    // while the other controllers had nothing to do. With none of them there, users
    // must still find the leader.
    let (_world, a, _task) = start_with_leader().await;
    assert!(a.spare_time_fraction() > 0.9 && !a.sheds_user_load());
    *a.lock(&a.scheduling_delay) = HEARTBEAT_INTERVAL_S;
    assert!(a.spare_time_fraction() == 0.0);
    *a.lock(&a.sheds_user_load_until) = a.now() + LEASE_S;
    assert!(!a.sheds_user_load(), "no other node answers");
    *a.lock(&a.reachable_peers) = 1;
    assert!(a.sheds_user_load());
    a.step_down("as a test");
    assert!(!a.sheds_user_load(), "only a leader does");
}

#[tokio::test(start_paused = true)]
async fn a_node_that_does_not_lead_refuses_before_it_reads() {
    // Without a leader, all workers call on the controllers left, and what is parsed
    // for nothing is missing for users.
    let (_world, a, _task) = start_with_leader().await;
    assert!(matches!(
        handle_heartbeat(&a, b"{"),
        HeartbeatReply::Malformed(_)
    ));
    a.step_down("as a test");
    assert_eq!(handle_heartbeat(&a, b"{"), HeartbeatReply::Unavailable);
    a.observe_term(99, Some("n-b"));
    assert!(
        matches!(handle_heartbeat(&a, b"{"), HeartbeatReply::Redirected(r) if r.leader.as_deref() == Some("n-b"))
    );
}

// The floor counts what is over. Lost at a restart of all, a class that had all
// its jobs served would look as if it had none, and others would come first.
#[tokio::test(start_paused = true)]
async fn what_was_served_is_known_after_all_controllers_were_down() {
    let done = |controller: &tallygauge::controller::Controller| {
        let all = controller.with_cluster(|c| {
            let standings = c.group_statuses();
            let all = standings
                .iter()
                .filter(|s| s.key.kind != GroupKind::Largest);
            all.map(|s| s.counts.done).collect::<Vec<u64>>()
        });
        all.unwrap_or_default()
    };
    let (simulation, a, task) = start_with_leader().await;
    for n in 1..=2 {
        let (id, body) = simulation.job(n, 2, 2.0, 3.0);
        submit_until_accepted(&a, &body).await;
        assert!(
            eventually(60.0, async || query_status(&a, &id).await
                == Some(JobStatus::Done))
            .await
        );
    }
    assert_eq!(done(&a), [2, 2], "its class and its team");
    tokio::time::sleep(Duration::from_secs_f64(HEARTBEAT_INTERVAL_S * 6.0)).await;
    simulation.crash_controller("n-a", &task);
    let (b, task) = simulation.start_controller("n-b");
    assert!(eventually(30.0, async || is_active_leader(&b)).await);
    assert_eq!(done(&b), [2, 2]);
    // A record that can't be read is no reason not to lead.
    simulation.crash_controller("n-b", &task);
    let torn = Transaction {
        conditions: Vec::new(),
        writes: vec![Write::Set {
            key: "s/floor".into(),
            value: serde_json::json!({"v": 1, "c": "torn"}),
            lease: None,
        }],
    };
    b.store
        .transact(RequestPriority::Placement, &torn)
        .await
        .unwrap();
    let (c, _task) = simulation.start_controller("n-c");
    assert!(eventually(30.0, async || is_active_leader(&c)).await);
    let (id, body) = simulation.job(3, 2, 2.0, 3.0);
    submit_until_accepted(&c, &body).await;
    assert!(
        eventually(60.0, async || query_status(&c, &id).await
            == Some(JobStatus::Done))
        .await
    );
    assert_eq!(done(&c), [1, 1], "counting began anew");
}
