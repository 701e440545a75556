//! User requests: submission, status and cancellation, also while store requests fail.

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

// A user may repeat a submission, or cancel a job that is done already. The reply has to be
// the final status of the job, and no task may run again.
#[tokio::test(start_paused = true)]
async fn submitted_job_runs_to_completion_and_repeats_get_its_result() {
    let simulation = Simulation::new();
    tokio::spawn(simulation.clone().run_workers());
    let (controller_a, _task_a) = simulation.start_controller("n-a");
    let (controller_b, _task_b) = simulation.start_controller("n-b");
    let JobRequest { id, body } = simulation.job(1, 6, 2.0, 5.0);
    submit_until_accepted(&controller_a, &body).await;
    // Every controller knows a job that has been accepted.
    assert!(query_status(&controller_b, &id).await.is_some());
    assert!(
        eventually(60.0, async || query_status(&controller_b, &id).await
            == Some(JobStatus::Done))
        .await
    );
    // A repeated submission and a late cancellation get the final status.
    let resubmission = user_api::submit(&controller_a, &body).await;
    assert_eq!(
        (resubmission.status(), reply_status(&resubmission)),
        (200, Some(JobStatus::Done))
    );
    assert_eq!(
        reply_status(&user_api::cancel(&controller_b, &id).await),
        Some(JobStatus::Done)
    );
    // A malformed submission of a known job is answered with the status of the job.
    let malformed = br#"{"nameId":"req-000001","pieces":"many"}"#;
    assert_eq!(
        user_api::submit(&controller_b, malformed).await.status(),
        200
    );
    let malformed_unknown = br#"{"nameId":"req-000002","pieces":"many"}"#;
    assert_eq!(
        user_api::submit(&controller_b, malformed_unknown)
            .await
            .status(),
        400
    );
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

// A cancellation races the completion of the job's only task. Both controllers must report
// the final status that the canceller was told.
#[tokio::test(start_paused = true)]
async fn cancellation_racing_completion_gives_one_final_status() {
    for delay_step in 0..12u32 {
        let simulation = Simulation::new();
        tokio::spawn(simulation.clone().run_workers());
        let (controller_a, _task_a) = simulation.start_controller("n-a");
        let (controller_b, _task_b) = simulation.start_controller("n-b");
        let id = submit_job(&simulation, &controller_a, 1, 1, 1.0, 5.0).await;
        assert!(eventually(60.0, async || count_starts(&simulation) > 0).await);
        tokio::time::sleep(Duration::from_millis(4700 + u64::from(delay_step) * 120)).await;
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
                "delay step {delay_step}"
            );
        }
        let state = simulation.state.lock().unwrap();
        assert!(state.violations.is_empty(), "{:?}", state.violations);
    }
}

// A job with pending tasks is cancelled. None of them may start, and the capacity of the
// running ones has to become available to other jobs.
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
    let starts_before = count_starts(&simulation);
    // Capacity is released only when the workers have confirmed the stops.
    let second = submit_job(&simulation, &controller_b, 2, 4, 4.0, 3.0).await;
    assert!(
        eventually(30.0, async || query_status(&controller_a, &second).await
            == Some(JobStatus::Done))
        .await
    );
    let state = simulation.state.lock().unwrap();
    let later_starts = &state.starts[starts_before..];
    assert!(
        later_starts.iter().all(|s| s.task.starts_with(&second)),
        "{later_starts:?}"
    );
    assert!(state.violations.is_empty(), "{:?}", state.violations);
}

// The leader's job watch hangs, so that the leader does not learn of a cancellation and
// places pending tasks of the job. Those placements have to fail on the job's record.
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
    // The running tasks end, and the leader places the pending ones in their capacity. These
    // placements are conditional on the record of the job.
    sleep_s(6.0).await;
    let done = controller_a
        .with_cluster(|cluster| cluster.task_count(&id))
        .flatten();
    assert_eq!(
        (count_starts(&simulation), done),
        (4, None),
        "the leader did not learn of the cancellation from the failed condition"
    );
    simulation.assert_invariants();
}

// The store commits every transaction, but all of its responses are truncated. A controller
// that acted on a part of a response could report or lose what was not decided.
#[tokio::test(start_paused = true)]
async fn truncated_responses_are_treated_as_missing() {
    let simulation = Simulation::new();
    tokio::spawn(simulation.clone().run_workers());
    let (controller_a, _task_a) = simulation.start_controller("n-a");
    let id = submit_job(&simulation, &controller_a, 1, 8, 4.0, 6.0).await;
    assert!(eventually(60.0, async || count_starts(&simulation) > 0).await);
    // From here on, every transaction is committed, and no response is complete.
    simulation.set_faults(|faults| faults.truncate_responses = true);
    let JobRequest {
        id: second,
        body: second_body,
    } = simulation.job(2, 1, 1.0, 1.0);
    for _ in 0..10 {
        tokio::time::sleep(Duration::from_millis(500)).await;
        assert_eq!(
            user_api::submit(&controller_a, &second_body).await.status(),
            503
        );
        assert_eq!(
            user_api::job_status(&controller_a, "req-000077")
                .await
                .status(),
            503
        );
        assert!(matches!(
            handle_heartbeat(&controller_a, b"{\"bench\":\"x\"").await,
            HeartbeatReply::Malformed(_)
        ));
    }
    simulation.set_faults(|faults| faults.truncate_responses = false);
    for job in [&id, &second] {
        assert!(
            eventually(120.0, async || query_status(&controller_a, job).await
                == Some(JobStatus::Done))
            .await
        );
    }
    simulation.assert_invariants();
}

// The users of a controller, a third of all, used to get 503 for as long as the store
// refused that controller, though every other controller could have answered them.
#[tokio::test(start_paused = true)]
async fn controller_refused_by_store_relays_user_requests_to_a_peer() {
    let (simulation, controller_a, _task_a) = start_with_leader().await;
    let (controller_b, _task_b) = simulation.start_controller("n-b");
    assert!(eventually(30.0, async || controller_b.catalogue.is_loaded()).await);
    controller_b
        .relay
        .set(Arc::new(RelayTo(controller_a.clone())));
    simulation.set_store_partitioned("n-b", true);
    let JobRequest { id, body } = simulation.job(1, 2, 8.0, 5.0);
    let path = format!("/work/{id}");
    let send = async |method: Method, path: &str, body: &[u8]| {
        let sent_at = controller_b.now();
        let reply = user_api::serve(&controller_b, &method, path, body)
            .await
            .unwrap();
        (reply.status(), controller_b.now() - sent_at)
    };
    // By the first request the controller finds that the store refuses it.
    let _ = send(Method::POST, "/work", &body).await;
    assert_eq!(send(Method::POST, "/work", &body).await.0, 200);
    assert_eq!(send(Method::GET, &path, b"").await.0, 200);
    assert_eq!(send(Method::GET, "/work/req-000009", b"").await.0, 404);
    assert!(send(Method::GET, &path, b"").await.1 < 0.2);
    let abort_path = format!("{path}/abort");
    assert_eq!(send(Method::POST, &abort_path, b"").await.0, 200);
    // When the store serves no controller, the user gets 503 before the request times out.
    simulation.set_store_partitioned("n-a", true);
    for _ in 0..3 {
        let (status, elapsed_s) = send(Method::GET, "/work/req-000008", b"").await;
        assert_eq!(status, 503);
        assert!(elapsed_s < 2.0, "{elapsed_s:.1} s");
    }
    let state = simulation.state.lock().unwrap();
    assert!(state.violations.is_empty(), "{:?}", state.violations);
}

// The store commits a submission, and its response is lost. The controller has to find that
// the job is stored, instead of failing the request or storing the job a second time.
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

// Submissions to a lagging leader used to wait up to a second while the other controllers
// were idle. When no peer is reachable, the leader must still accept user requests.
#[tokio::test(start_paused = true)]
async fn lagging_leader_sheds_user_load_only_to_reachable_peers() {
    let (_simulation, controller_a, _task) = start_with_leader().await;
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
        "no other controller is reachable"
    );
    controller_a.peer_reachability.record_reachable_count(1);
    assert!(controller_a.sheds_user_load());
    controller_a.step_down("requested by the test");
    assert!(
        !controller_a.sheds_user_load(),
        "only a leader sheds user load"
    );
}
