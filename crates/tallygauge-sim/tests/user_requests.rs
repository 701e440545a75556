//! Submission, status and cancellation requests of users, also while requests to the
//! store fail.

use std::{sync::Arc, time::Duration};
use tallygauge::{
    user_api,
    worker_api::{HeartbeatReply, handle_heartbeat},
};
use tallygauge_protocol::users::JobStatus;
use tallygauge_sim::{
    HEARTBEAT_INTERVAL_S, JobRequest, LEASE_S, RelayTo, Simulation, count_starts, eventually,
    is_active_leader, query_status, reply_status, sleep_s, start_with_leader, submit_job,
    submit_until_accepted,
};
use warp::http::Method;

#[tokio::test(start_paused = true)]
async fn submitted_job_runs_to_completion_and_repeats_get_its_result() {
    let simulation = Simulation::new();
    tokio::spawn(simulation.clone().run_workers());
    let (controller_a, _task) = simulation.start_controller("n-a");
    let (controller_b, _other) = simulation.start_controller("n-b");
    let JobRequest { id, body } = simulation.job(1, 6, 2.0, 5.0);
    submit_until_accepted(&controller_a, &body).await;
    // Accepted means known to every controller.
    assert!(query_status(&controller_b, &id).await.is_some());
    assert!(
        eventually(60.0, async || query_status(&controller_b, &id).await
            == Some(JobStatus::Done))
        .await
    );
    // A repeated submission and a late cancellation get the final status.
    let again = user_api::submit(&controller_a, &body).await;
    assert_eq!(
        (again.status(), reply_status(&again)),
        (200, Some(JobStatus::Done))
    );
    assert_eq!(
        reply_status(&user_api::cancel(&controller_b, &id).await),
        Some(JobStatus::Done)
    );
    // A known job gets its status even when the repeated submission is malformed.
    let bad = br#"{"nameId":"req-000001","pieces":"many"}"#;
    assert_eq!(user_api::submit(&controller_b, bad).await.status(), 200);
    let unknown = br#"{"nameId":"req-000002","pieces":"many"}"#;
    assert_eq!(user_api::submit(&controller_b, unknown).await.status(), 400);
    assert_eq!(
        user_api::job_status(&controller_b, "req-000002")
            .await
            .status(),
        404
    );
    assert_eq!(
        user_api::cancel(&controller_b, "req-000002").await.status(),
        404
    );
    assert_eq!(count_starts(&simulation), 6);
    simulation.assert_invariants();
}

#[tokio::test(start_paused = true)]
async fn cancellation_racing_completion_gives_one_final_status() {
    for offset in 0..12u32 {
        let simulation = Simulation::new();
        tokio::spawn(simulation.clone().run_workers());
        let (controller_a, _task_a) = simulation.start_controller("n-a");
        let (controller_b, _task_b) = simulation.start_controller("n-b");
        let id = submit_job(&simulation, &controller_a, 1, 1, 1.0, 5.0).await;
        assert!(eventually(60.0, async || count_starts(&simulation) > 0).await);
        tokio::time::sleep(Duration::from_millis(4700 + u64::from(offset) * 120)).await;
        let mut status = None;
        assert!(
            eventually(10.0, async || {
                status = reply_status(&user_api::cancel(&controller_b, &id).await);
                status.is_some()
            })
            .await
        );
        assert!(matches!(
            status,
            Some(JobStatus::Done | JobStatus::Cancelled)
        ));
        sleep_s(5.0).await;
        for controller in [&controller_a, &controller_b] {
            assert_eq!(
                query_status(controller, &id).await,
                status,
                "offset {offset}"
            );
        }
        let state = simulation.state.lock().unwrap();
        assert!(state.violations.is_empty(), "{:?}", state.violations);
    }
}

#[tokio::test(start_paused = true)]
async fn cancelled_job_starts_no_tasks_and_releases_its_machines() {
    let simulation = Simulation::new();
    tokio::spawn(simulation.clone().run_workers());
    let (controller_a, _task_a) = simulation.start_controller("n-a");
    let (controller_b, _task_b) = simulation.start_controller("n-b");
    let id = submit_job(&simulation, &controller_a, 1, 8, 4.0, 30.0).await;
    assert!(eventually(60.0, async || count_starts(&simulation) == 4).await);
    assert_eq!(
        reply_status(&user_api::cancel(&controller_b, &id).await),
        Some(JobStatus::Cancelled)
    );
    let before = count_starts(&simulation);
    // Capacity is released only when the stops are confirmed.
    let other = submit_job(&simulation, &controller_b, 2, 4, 4.0, 3.0).await;
    assert!(
        eventually(30.0, async || query_status(&controller_a, &other).await
            == Some(JobStatus::Done))
        .await
    );
    let state = simulation.state.lock().unwrap();
    let later = &state.starts[before..];
    assert!(
        later.iter().all(|s| s.task.starts_with(&other)),
        "{later:?}"
    );
    assert!(state.violations.is_empty(), "{:?}", state.violations);
}

#[tokio::test(start_paused = true)]
async fn leader_unaware_of_cancellation_starts_no_tasks_of_the_job() {
    let (simulation, controller_a, _task_a) = start_with_leader().await;
    let (controller_b, _task_b) = simulation.start_controller("n-b");
    let id = submit_job(&simulation, &controller_b, 1, 8, 4.0, 3.0).await;
    assert!(eventually(60.0, async || count_starts(&simulation) == 4).await);
    simulation.set_faults(|faults| faults.hang_job_watches = true);
    sleep_s(1.0).await;
    assert_eq!(
        reply_status(&user_api::cancel(&controller_b, &id).await),
        Some(JobStatus::Cancelled)
    );
    assert!(
        controller_a
            .with_cluster(|cluster| cluster.jobs.contains_key(&id))
            .unwrap()
    );
    // Capacity for the other tasks is released, but placing them is conditional on the record.
    sleep_s(6.0).await;
    let done = controller_a
        .with_cluster(|cluster| cluster.task_count(&id))
        .flatten();
    assert_eq!(
        (count_starts(&simulation), done),
        (4, None),
        "it learned from the refusal"
    );
    simulation.assert_invariants();
}

#[tokio::test(start_paused = true)]
async fn truncated_responses_are_treated_as_missing() {
    let simulation = Simulation::new();
    tokio::spawn(simulation.clone().run_workers());
    let (controller_a, _task_a) = simulation.start_controller("n-a");
    let id = submit_job(&simulation, &controller_a, 1, 8, 4.0, 6.0).await;
    assert!(eventually(60.0, async || count_starts(&simulation) > 0).await);
    // From here on every transaction is committed, and no response is complete.
    simulation.set_faults(|faults| faults.truncate_responses = true);
    let JobRequest {
        id: other,
        body: next,
    } = simulation.job(2, 1, 1.0, 1.0);
    for _ in 0..10 {
        tokio::time::sleep(Duration::from_millis(500)).await;
        assert_eq!(user_api::submit(&controller_a, &next).await.status(), 503);
        assert_eq!(
            user_api::job_status(&controller_a, "req-000077")
                .await
                .status(),
            503
        );
        assert!(matches!(
            handle_heartbeat(&controller_a, b"{\"bench\":\"x\""),
            HeartbeatReply::Malformed(_)
        ));
    }
    simulation.set_faults(|faults| faults.truncate_responses = false);
    for job in [&id, &other] {
        assert!(
            eventually(120.0, async || query_status(&controller_a, job).await
                == Some(JobStatus::Done))
            .await
        );
    }
    simulation.assert_invariants();
}

#[tokio::test(start_paused = true)]
async fn controller_refused_by_store_relays_users_to_a_peer() {
    // Its users, a third of all, used to get 503 for as long as the store refused it,
    // though every other controller could have answered them.
    let (simulation, controller_a, _task_a) = start_with_leader().await;
    let (controller_b, _task_b) = simulation.start_controller("n-b");
    assert!(eventually(30.0, async || controller_b.catalogue.is_loaded()).await);
    controller_b
        .relay
        .set(Arc::new(RelayTo(controller_a.clone())));
    simulation.set_store_partitioned("n-b", true);
    let JobRequest { id, body } = simulation.job(1, 2, 8.0, 5.0);
    let path = format!("/work/{id}");
    let ask = async |method: Method, path: &str, body: &[u8]| {
        let began = controller_b.now();
        let reply = user_api::serve(&controller_b, &method, path, body)
            .await
            .unwrap();
        (reply.status(), controller_b.now() - began)
    };
    // The first request finds out that the store refuses the controller.
    let _ = ask(Method::POST, "/work", &body).await;
    assert_eq!(ask(Method::POST, "/work", &body).await.0, 200);
    assert_eq!(ask(Method::GET, &path, b"").await.0, 200);
    assert_eq!(ask(Method::GET, "/work/req-000009", b"").await.0, 404);
    assert!(ask(Method::GET, &path, b"").await.1 < 0.2);
    let abort = format!("{path}/abort");
    assert_eq!(ask(Method::POST, &abort, b"").await.0, 200);
    // When the store serves no controller, the answer is 503 before the user times out.
    simulation.set_store_partitioned("n-a", true);
    for _ in 0..3 {
        let (status, took) = ask(Method::GET, "/work/req-000008", b"").await;
        assert_eq!(status, 503);
        assert!(took < 2.0, "{took:.1} s");
    }
    let state = simulation.state.lock().unwrap();
    assert!(state.violations.is_empty(), "{:?}", state.violations);
}

#[tokio::test(start_paused = true)]
async fn submission_with_lost_store_response_is_stored_once() {
    let simulation = Simulation::new();
    let (controller_a, _task_a) = simulation.start_controller("n-a");
    let (controller_b, _task_b) = simulation.start_controller("n-b");
    assert!(
        eventually(30.0, async || is_active_leader(&controller_a)
            || is_active_leader(&controller_b))
        .await
    );
    assert!(eventually(30.0, async || controller_b.catalogue.is_loaded()).await);
    let JobRequest { id, body } = simulation.job(1, 1, 1.0, 5.0);
    simulation.set_faults(|faults| faults.lose_next_responses = 1);
    let reply = user_api::submit(&controller_b, &body).await;
    assert_eq!(reply_status(&reply), Some(JobStatus::Pending), "{reply:?}");
    assert_eq!(
        query_status(&controller_a, &id).await,
        Some(JobStatus::Pending)
    );
    assert_eq!(user_api::submit(&controller_a, &body).await.status(), 200);
}

#[tokio::test(start_paused = true)]
async fn lagging_leader_sheds_user_load_only_to_reachable_peers() {
    // Submissions to a lagging leader waited up to a second while the other controllers
    // were idle. When no peer is reachable, the leader must still accept users.
    let (_world, controller_a, _task) = start_with_leader().await;
    assert!(controller_a.spare_time_fraction() > 0.9 && !controller_a.sheds_user_load());
    controller_a
        .load
        .record_scheduling_delay(HEARTBEAT_INTERVAL_S);
    assert!(controller_a.spare_time_fraction() == 0.0);
    controller_a
        .load
        .shed_user_load_until(controller_a.now() + LEASE_S);
    assert!(
        !controller_a.sheds_user_load(),
        "no other controller answers"
    );
    controller_a.peer_reachability.record_reachable_count(1);
    assert!(controller_a.sheds_user_load());
    controller_a.step_down("as a test");
    assert!(!controller_a.sheds_user_load(), "only a leader does");
}
