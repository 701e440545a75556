//! Job statuses read by users stay linearizable under concurrent requests and faults.

#![allow(
    clippy::unwrap_used,
    reason = "a test ends on a value that it does not expect"
)]

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};
use tallygauge::{controller::Controller, user_api};
use tallygauge_protocol::users::JobStatus;
use tallygauge_sim::{
    CANCEL_TIMEOUT_S, FaultPoint, History, JobRequest, JobShape, RelayTo, Simulation,
    cancel_until_confirmed, eventually, query_status, reply_status, sleep_s, start_with_leader,
    submit_job, submit_job_with_shape, submit_until_accepted, wait_until_done,
};
use tokio::task::JoinHandle;
use warp::http::Method;

/// Starts three controllers: the first leads, and each relays user requests to the next.
async fn start_three_controllers() -> (Arc<Simulation>, Vec<Arc<Controller>>, Vec<JoinHandle<()>>) {
    let (simulation, controller_a, task) = start_with_leader().await;
    let mut controllers = vec![controller_a];
    let mut tasks = vec![task];
    for name in ["n-b", "n-c"] {
        let (controller, task) = simulation.start_controller(name);
        controllers.push(controller);
        tasks.push(task);
    }
    for index in 0..3 {
        let peer = controllers[(index + 1) % 3].clone();
        controllers[index].relay.set(Arc::new(RelayTo(peer)));
    }
    (simulation, controllers, tasks)
}

/// A kind of user request.
#[derive(Debug, Clone, Copy)]
enum Request {
    Status,
    Submit,
    Cancel,
}

/// Sends a user request to one controller and records the reply in the history. Fails if
/// the reply says that a job is done whose task has not completed.
async fn send_request(
    simulation: Arc<Simulation>,
    controller: Arc<Controller>,
    history: Arc<Mutex<History>>,
    kind: Request,
    JobRequest { id, body }: JobRequest,
) {
    let requested_at = simulation.now();
    let name = controller.settings.node_name.clone();
    let (method, path) = match kind {
        Request::Status => (Method::GET, format!("/work/{id}")),
        Request::Submit => (Method::POST, "/work".to_string()),
        Request::Cancel => (Method::POST, format!("/work/{id}/abort")),
    };
    let reply = simulation.run_on(&name, async move {
        user_api::serve(&controller, &method, &path, &body).await
    });
    let Ok(Some(reply)) = tokio::time::timeout(Duration::from_secs(5), reply).await else {
        return;
    };
    match reply_status(&reply) {
        Some(JobStatus::Cancelled) => simulation.record_cancellation(&id),
        Some(JobStatus::Done) => {
            assert!(simulation.all_tasks_completed(&id, 1), "{id} is not done")
        }
        _ => {}
    }
    let answered_at = simulation.now();
    history
        .lock()
        .unwrap()
        .record(&id, requested_at, answered_at, &reply);
}

/// Reads a job's status from all controllers every few milliseconds, from before its
/// submission until after its end, and checks that no read is stale. Meanwhile other users
/// repeat the submission, and store responses are lost with the probability given. With
/// `cancels`, users also cancel the job; with `pauses`, one controller is paused for a
/// while.
async fn check_status_history(
    seed: u64,
    lost_response_probability: f64,
    cancels: bool,
    pauses: bool,
) {
    let (simulation, controllers, _tasks) = start_three_controllers().await;
    simulation.seed(seed);
    let history = Arc::new(Mutex::new(History::default()));
    let shape = JobShape {
        run_s: 3.0,
        ..JobShape::default()
    };
    // Before the check, a machine has booted, and every controller has cached a job.
    let first = submit_job_with_shape(&simulation, &controllers[0], 1, shape).await;
    assert!(wait_until_done(&controllers[0], &first).await);
    simulation.set_faults(|faults| faults.lost_response_probability = lost_response_probability);
    let job = simulation.job_with_shape(2, shape);
    let mut requests = Vec::new();
    let started_at = simulation.now();
    for step in 0..900u64 {
        let controller_index = (step + seed) as usize % 3;
        let kind = match step {
            0..3 => Request::Status,
            _ if step % 40 == 3 => Request::Submit,
            _ if cancels && step >= 60 + seed * 37 && step % 30 == 0 => Request::Cancel,
            _ => Request::Status,
        };
        if pauses && step == 100 {
            simulation.pause("n-b");
        }
        if pauses && step == 300 + seed * 10 {
            simulation.resume("n-b");
        }
        requests.push(tokio::spawn(send_request(
            simulation.clone(),
            controllers[controller_index].clone(),
            history.clone(),
            kind,
            job.clone(),
        )));
        tokio::time::sleep(Duration::from_millis(9)).await;
    }
    for request in requests {
        request.await.unwrap();
    }
    simulation.set_faults(|faults| faults.lost_response_probability = 0.0);
    let has_ended = eventually(60.0, async || {
        matches!(
            query_status(&controllers[2], &job.id).await,
            Some(JobStatus::Done | JobStatus::Cancelled)
        )
    });
    assert!(
        has_ended.await,
        "seed {seed}: the job, requested since {started_at} s, has not ended"
    );
    let history = history.lock().unwrap();
    assert!(history.len() > 300, "only {} replies", history.len());
    assert_eq!(history.stale_reads(), Vec::<String>::new(), "seed {seed}");
    simulation.assert_invariants();
}

// Users read a job's status from all controllers while others submit and cancel it. A
// controller that answered from an outdated cache, also right after a pause of its
// process, would report an earlier status than another controller has reported before.
#[tokio::test(start_paused = true)]
async fn concurrent_status_reads_on_all_controllers_are_linearizable() {
    for seed in 0..4 {
        check_status_history(seed, 0.0, seed % 2 == 1, false).await;
        check_status_history(seed, 0.0, seed % 2 == 0, true).await;
    }
}

// A transaction is committed but its response is lost, while other controllers read what it
// wrote. The controller that sent the transaction must not report the state from before the
// transaction.
#[tokio::test(start_paused = true)]
async fn status_reads_stay_linearizable_with_lost_store_responses() {
    for seed in 0..4 {
        check_status_history(seed, 0.4, seed % 2 == 0, false).await;
        check_status_history(seed, 0.4, seed % 2 == 1, true).await;
    }
}

// A cancellation, a status request and a repeated submission, sent to three controllers,
// race the completion of the last task, without any fault but a delayed job watch. Their
// replies must agree on whether the job was done or cancelled.
#[tokio::test(start_paused = true)]
async fn requests_racing_the_last_task_completion_are_linearizable() {
    let (simulation, controllers, _tasks) = start_three_controllers().await;
    let history = Arc::new(Mutex::new(History::default()));
    let mut jobs = Vec::new();
    for n in 1..=24u32 {
        let job = simulation.job(n, 1, 1.0, 4.0);
        submit_until_accepted(&controllers[n as usize % 3], &job.body).await;
        jobs.push(job.clone());
        let completed = eventually(60.0, async || simulation.all_tasks_completed(&job.id, 1));
        assert!(completed.await);
        // The leader learns of the cancellation late, but of the completion at once: only
        // the store decides which came first.
        simulation.set_faults(|faults| faults.hang_job_watches = n % 2 == 0);
        // The requests are sent between just after the completion and well after it is
        // stored.
        tokio::time::sleep(Duration::from_millis(u64::from(n) * 37)).await;
        let mut requests = Vec::new();
        for (offset, kind) in [Request::Cancel, Request::Status, Request::Submit]
            .into_iter()
            .enumerate()
        {
            let controller = controllers[(n as usize + offset) % 3].clone();
            let request = send_request(
                simulation.clone(),
                controller,
                history.clone(),
                kind,
                job.clone(),
            );
            requests.push(tokio::spawn(request));
        }
        for request in requests {
            request.await.unwrap();
        }
        sleep_s(2.0).await;
        simulation.set_faults(|faults| faults.hang_job_watches = false);
    }
    for job in &jobs {
        for controller in &controllers {
            let has_ended = eventually(30.0, async || {
                matches!(
                    query_status(controller, &job.id).await,
                    Some(JobStatus::Done | JobStatus::Cancelled)
                )
            });
            assert!(has_ended.await, "{}", job.id);
            let (simulation, controller, job) =
                (simulation.clone(), controller.clone(), job.clone());
            send_request(
                simulation,
                controller,
                history.clone(),
                Request::Status,
                job,
            )
            .await;
        }
    }
    assert_eq!(history.lock().unwrap().stale_reads(), Vec::<String>::new());
    simulation.assert_invariants();
}

// One-task jobs arrive at four per second for minutes, and a quarter of them is cancelled.
// The store may be written at the submission and at the end of a job, and otherwise once
// per scheduling round: the number of writes must not grow faster than that of jobs.
#[tokio::test(start_paused = true)]
async fn four_jobs_per_second_with_cancellations_use_bounded_store_writes() {
    let (simulation, controllers, _tasks) = start_three_controllers().await;
    let job_count: u32 = 600;
    let mut cancellations = Vec::new();
    for n in 1..=job_count {
        let id = submit_job(&simulation, &controllers[n as usize % 3], n, 1, 1.0, 2.0).await;
        if n % 4 == 0 {
            let controller = controllers[(n as usize + 1) % 3].clone();
            let simulation = simulation.clone();
            let delay = Duration::from_millis(u64::from(n) * 7 % 1900);
            cancellations.push(tokio::spawn(async move {
                tokio::time::sleep(delay).await;
                let reply = user_api::cancel(&controller, &id).await;
                let status = reply_status(&reply).expect("the cancellation got no job status");
                if status == JobStatus::Cancelled {
                    simulation.record_cancellation(&id);
                }
                status
            }));
        }
        tokio::time::sleep(Duration::from_millis(240)).await;
    }
    let mut cancelled_count = 0;
    for request in cancellations {
        cancelled_count += usize::from(request.await.unwrap() == JobStatus::Cancelled);
    }
    assert!(
        cancelled_count > 20,
        "only {cancelled_count} were cancelled"
    );
    for n in 1..=job_count {
        let id = format!("req-{n:06}");
        let has_ended = eventually(60.0, async || {
            matches!(
                query_status(&controllers[1], &id).await,
                Some(JobStatus::Done | JobStatus::Cancelled)
            )
        });
        assert!(has_ended.await, "{id}");
    }
    // For each job, a record under `o/` is set and removed, and one under `j/` stays.
    assert_eq!(simulation.count_changes("o/"), job_count as usize * 2);
    assert_eq!(simulation.count_changes("j/"), job_count as usize);
    assert!(
        simulation.count_changes("f/") <= 2,
        "{}",
        simulation.count_changes("f/")
    );
    let placement_writes = simulation.count_changes("p/");
    assert!(
        placement_writes <= job_count as usize * 2,
        "{placement_writes} placement writes"
    );
    simulation.assert_invariants();
}

// The controller that executes a cancellation is paused just before or after its store
// write, while users read the status from the other controllers. Once one of them has
// reported the job as cancelled, none may report it as active.
#[tokio::test(start_paused = true)]
async fn controller_paused_around_cancellation_write_gives_no_stale_reads() {
    for (after_response, pause_s) in [(false, 3.0), (true, 3.0), (true, 12.0)] {
        let (simulation, controllers, _tasks) = start_three_controllers().await;
        let JobRequest { id, body } = simulation.job(1, 2, 4.0, CANCEL_TIMEOUT_S * 4.0);
        submit_until_accepted(&controllers[0], &body).await;
        assert!(eventually(60.0, async || simulation.running_task_count(&id) == 2).await);
        let history = Arc::new(Mutex::new(History::default()));
        simulation.set_faults(|faults| {
            faults.pause_at = Some(FaultPoint {
                controller: "n-b".into(),
                request: "POST /multi",
                after_response,
            })
        });
        let job = JobRequest {
            id: id.clone(),
            body: body.clone(),
        };
        let cancellation = tokio::spawn(send_request(
            simulation.clone(),
            controllers[1].clone(),
            history.clone(),
            Request::Cancel,
            job.clone(),
        ));
        let end_at = simulation.now() + pause_s;
        while simulation.now() < end_at {
            for controller in [&controllers[0], &controllers[2]] {
                let request = send_request(
                    simulation.clone(),
                    controller.clone(),
                    history.clone(),
                    Request::Status,
                    job.clone(),
                );
                request.await;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        simulation.resume("n-b");
        cancellation.await.unwrap();
        cancel_until_confirmed(&simulation, &controllers[1], &id, 20.0).await;
        sleep_s(CANCEL_TIMEOUT_S).await;
        assert_eq!(history.lock().unwrap().stale_reads(), Vec::<String>::new());
        simulation.assert_invariants();
    }
}

// The controller that executes a cancellation is paused after it has read the job's
// record. The job completes meanwhile, and a user reads that it is done: the cancellation
// must not replace this status.
#[tokio::test(start_paused = true)]
async fn cancellation_paused_past_completion_reports_done() {
    let (simulation, controllers, _tasks) = start_three_controllers().await;
    let job = simulation.job(1, 1, 1.0, 6.0);
    submit_until_accepted(&controllers[0], &job.body).await;
    assert!(eventually(60.0, async || simulation.running_task_count(&job.id) == 1).await);
    let history = Arc::new(Mutex::new(History::default()));
    // This read caches the job, so that the next read of its record is that of the
    // cancellation.
    assert!(query_status(&controllers[1], &job.id).await.is_some());
    simulation.set_faults(|faults| {
        faults.pause_at = Some(FaultPoint::after_response("n-b", "GET /store/o/"))
    });
    let (controller, id) = (controllers[1].clone(), job.id.clone());
    let cancellation = simulation.run_on(
        "n-b",
        async move { user_api::cancel(&controller, &id).await },
    );
    let cancellation = tokio::spawn(cancellation);
    assert!(eventually(5.0, async || simulation.is_paused("n-b")).await);
    assert!(wait_until_done(&controllers[0], &job.id).await);
    let request_status = |controller: &Arc<Controller>| {
        let (simulation, controller, history) =
            (simulation.clone(), controller.clone(), history.clone());
        send_request(
            simulation,
            controller,
            history,
            Request::Status,
            job.clone(),
        )
    };
    request_status(&controllers[0]).await;
    simulation.resume("n-b");
    assert_eq!(
        reply_status(&cancellation.await.unwrap()),
        Some(JobStatus::Done)
    );
    for controller in &controllers {
        request_status(controller).await;
    }
    assert_eq!(history.lock().unwrap().stale_reads(), Vec::<String>::new());
    simulation.assert_invariants();
}
