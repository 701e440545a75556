//! Meetings of faults in which users must not be told anything older than before.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};
use tallygauge::{controller::Controller, user_api};
use tallygauge_protocol::users::JobStatus;
use tallygauge_sim::{
    CANCEL_TIMEOUT_S, FaultPoint, History, JobShape, RelayTo, Simulation, cancel_until_confirmed,
    eventually, query_status, reply_status, start_with_leader, submit_until_accepted,
    wait_until_done,
};
use tokio::task::JoinHandle;
use warp::http::Method;

/// Three controllers of which the first leads, each of which passes users on to
/// another.
async fn three() -> (Arc<Simulation>, Vec<Arc<Controller>>, Vec<JoinHandle<()>>) {
    let (simulation, a, task) = start_with_leader().await;
    let mut controllers = vec![a];
    let mut tasks = vec![task];
    for name in ["n-b", "n-c"] {
        let (controller, task) = simulation.start_controller(name);
        controllers.push(controller);
        tasks.push(task);
    }
    for n in 0..3 {
        let peer = controllers[(n + 1) % 3].clone();
        *controllers[n].lock(&controllers[n].relay) = Some(Arc::new(RelayTo(peer)));
    }
    (simulation, controllers, tasks)
}

/// What a user does.
#[derive(Debug, Clone, Copy)]
enum Request {
    Ask,
    Submit,
    Cancel,
}

/// A user's request at one controller, noted in the history; and what is told of the end
/// must be true.
async fn request(
    simulation: Arc<Simulation>,
    controller: Arc<Controller>,
    history: Arc<Mutex<History>>,
    what: Request,
    (id, body): (String, Vec<u8>),
) {
    let asked = simulation.now();
    let name = controller.settings.node_name.clone();
    let (method, path) = match what {
        Request::Ask => (Method::GET, format!("/work/{id}")),
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
    let told = simulation.now();
    history.lock().unwrap().record(&id, asked, told, &reply);
}

/// Asks at all controllers every few milliseconds, from before a job is submitted until
/// after it is over, while others repeat the submission and, if so wished, cancel it.
async fn looked_at_closely(seed: u64, lost_responses: f64, cancels: bool, freezes: bool) {
    let (simulation, controllers, _tasks) = three().await;
    simulation.seed(seed);
    let history = Arc::new(Mutex::new(History::default()));
    let shape = JobShape {
        run_s: 3.0,
        ..JobShape::default()
    };
    // A machine is up, and a job in every controller's cache before.
    let (first, body) = simulation.job_with_shape(1, shape);
    submit_until_accepted(&controllers[0], &body).await;
    assert!(wait_until_done(&controllers[0], &first).await);
    simulation.state.lock().unwrap().lost_responses = lost_responses;
    let job = simulation.job_with_shape(2, shape);
    let mut all = Vec::new();
    let began = simulation.now();
    for step in 0..900u64 {
        let at = (step + seed) as usize % 3;
        let what = match step {
            0..3 => Request::Ask,
            _ if step % 40 == 3 => Request::Submit,
            _ if cancels && step >= 60 + seed * 37 && step % 30 == 0 => Request::Cancel,
            _ => Request::Ask,
        };
        if freezes && step == 100 {
            simulation.pause("n-b");
        }
        if freezes && step == 300 + seed * 10 {
            simulation.resume("n-b");
        }
        all.push(tokio::spawn(request(
            simulation.clone(),
            controllers[at].clone(),
            history.clone(),
            what,
            job.clone(),
        )));
        tokio::time::sleep(Duration::from_millis(9)).await;
    }
    for one in all {
        one.await.unwrap();
    }
    simulation.state.lock().unwrap().lost_responses = 0.0;
    let over = eventually(60.0, async || {
        matches!(
            query_status(&controllers[2], &job.0).await,
            Some(JobStatus::Done | JobStatus::Cancelled)
        )
    });
    assert!(over.await, "{seed}: since {began}");
    let history = history.lock().unwrap();
    assert!(history.len() > 300, "{} answers", history.len());
    assert_eq!(history.stale_reads(), Vec::<String>::new(), "{seed}");
    simulation.assert_rules();
}

#[tokio::test(start_paused = true)]
async fn all_nodes_are_asked_within_milliseconds_of_accept_end_and_cancel() {
    for seed in 0..4 {
        looked_at_closely(seed, 0.0, seed % 2 == 1, false).await;
        looked_at_closely(seed, 0.0, seed % 2 == 0, true).await;
    }
}

// A transaction is carried out at once and only its answer is lost, while other
// controllers read what it wrote.
#[tokio::test(start_paused = true)]
async fn other_nodes_read_what_a_transaction_without_an_answer_wrote() {
    for seed in 0..4 {
        looked_at_closely(seed, 0.4, seed % 2 == 0, false).await;
        looked_at_closely(seed, 0.4, seed % 2 == 1, true).await;
    }
}

// A cancellation, a question or a repeated submission meets the end of the last
// task, with no other fault.
#[tokio::test(start_paused = true)]
async fn requests_meet_the_end_of_a_jobs_last_task() {
    let (simulation, controllers, _tasks) = three().await;
    let history = Arc::new(Mutex::new(History::default()));
    let mut jobs = Vec::new();
    for n in 1..=24u32 {
        let job = simulation.job(n, 1, 1.0, 4.0);
        submit_until_accepted(&controllers[n as usize % 3], &job.1).await;
        jobs.push(job.clone());
        let ends = eventually(60.0, async || simulation.all_tasks_completed(&job.0, 1));
        assert!(ends.await);
        // The leader hears of a cancellation late, and of the end as ever: only the
        // record tells which came first.
        simulation.state.lock().unwrap().hang_job_watches = n % 2 == 0;
        // From just after the end until well after it is on record.
        tokio::time::sleep(Duration::from_millis(u64::from(n) * 37)).await;
        let mut all = Vec::new();
        for (at, what) in [Request::Cancel, Request::Ask, Request::Submit]
            .into_iter()
            .enumerate()
        {
            let controller = controllers[(n as usize + at) % 3].clone();
            let asks = request(
                simulation.clone(),
                controller,
                history.clone(),
                what,
                job.clone(),
            );
            all.push(tokio::spawn(asks));
        }
        for one in all {
            one.await.unwrap();
        }
        tokio::time::sleep(Duration::from_secs(2)).await;
        simulation.state.lock().unwrap().hang_job_watches = false;
    }
    for job in &jobs {
        for controller in &controllers {
            let over = eventually(30.0, async || {
                matches!(
                    query_status(controller, &job.0).await,
                    Some(JobStatus::Done | JobStatus::Cancelled)
                )
            });
            assert!(over.await, "{}", job.0);
            let (simulation, controller, job) =
                (simulation.clone(), controller.clone(), job.clone());
            request(simulation, controller, history.clone(), Request::Ask, job).await;
        }
    }
    assert_eq!(history.lock().unwrap().stale_reads(), Vec::<String>::new());
    simulation.assert_rules();
}

// One-task jobs come four a second for minutes, a quarter of them cancelled: the
// state service is changed for a job's submission and end, and otherwise by round.
#[tokio::test(start_paused = true)]
async fn one_task_jobs_come_four_a_second_and_a_quarter_is_cancelled() {
    let (simulation, controllers, _tasks) = three().await;
    let jobs: u32 = 600;
    let mut cancelled = Vec::new();
    for n in 1..=jobs {
        let (id, body) = simulation.job(n, 1, 1.0, 2.0);
        submit_until_accepted(&controllers[n as usize % 3], &body).await;
        if n % 4 == 0 {
            let controller = controllers[(n as usize + 1) % 3].clone();
            let simulation = simulation.clone();
            let wait = Duration::from_millis(u64::from(n) * 7 % 1900);
            cancelled.push(tokio::spawn(async move {
                tokio::time::sleep(wait).await;
                let reply = user_api::cancel(&controller, &id).await;
                let told = reply_status(&reply).expect("told");
                if told == JobStatus::Cancelled {
                    simulation.record_cancellation(&id);
                }
                told
            }));
        }
        tokio::time::sleep(Duration::from_millis(240)).await;
    }
    let mut called_off = 0;
    for one in cancelled {
        called_off += usize::from(one.await.unwrap() == JobStatus::Cancelled);
    }
    assert!(called_off > 20, "{called_off}");
    for n in 1..=jobs {
        let id = format!("req-{n:06}");
        let over = eventually(60.0, async || {
            matches!(
                query_status(&controllers[1], &id).await,
                Some(JobStatus::Done | JobStatus::Cancelled)
            )
        });
        assert!(over.await, "{id}");
    }
    // A record set and removed, and one that stays, for each job.
    assert_eq!(simulation.count_changes("o/"), jobs as usize * 2);
    assert_eq!(simulation.count_changes("j/"), jobs as usize);
    assert!(
        simulation.count_changes("f/") <= 2,
        "{}",
        simulation.count_changes("f/")
    );
    let placements = simulation.count_changes("p/");
    assert!(placements <= jobs as usize * 2, "{placements}");
    simulation.assert_rules();
}

// Every interleaving of a cancellation with what the state service does to the controller
// that carries it out, and a look at another controller.
#[tokio::test(start_paused = true)]
async fn a_cancelling_node_stands_still_around_its_write() {
    for (answered, pause_s) in [(false, 3.0), (true, 3.0), (true, 12.0)] {
        let (simulation, controllers, _tasks) = three().await;
        let (id, body) = simulation.job(1, 2, 4.0, CANCEL_TIMEOUT_S * 4.0);
        submit_until_accepted(&controllers[0], &body).await;
        assert!(eventually(60.0, async || simulation.running_task_count(&id) == 2).await);
        let history = Arc::new(Mutex::new(History::default()));
        simulation.state.lock().unwrap().pause_at = Some(FaultPoint {
            controller: "n-b".into(),
            request: "POST /multi",
            answered,
        });
        let job = (id.clone(), body.clone());
        let canceller = tokio::spawn(request(
            simulation.clone(),
            controllers[1].clone(),
            history.clone(),
            Request::Cancel,
            job.clone(),
        ));
        let until_s = simulation.now() + pause_s;
        while simulation.now() < until_s {
            for controller in [&controllers[0], &controllers[2]] {
                let asks = request(
                    simulation.clone(),
                    controller.clone(),
                    history.clone(),
                    Request::Ask,
                    job.clone(),
                );
                asks.await;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        simulation.resume("n-b");
        canceller.await.unwrap();
        cancel_until_confirmed(&simulation, &controllers[1], &id, 20.0).await;
        tokio::time::sleep(Duration::from_secs_f64(CANCEL_TIMEOUT_S)).await;
        assert_eq!(history.lock().unwrap().stale_reads(), Vec::<String>::new());
        simulation.assert_rules();
    }
}

// A controller that carries out a cancellation stands still after it has read the job's
// record; the job ends meanwhile, and its user is told so. Done it stays.
#[tokio::test(start_paused = true)]
async fn a_job_ends_while_the_node_that_cancels_it_stands_still() {
    let (simulation, controllers, _tasks) = three().await;
    let job = simulation.job(1, 1, 1.0, 6.0);
    submit_until_accepted(&controllers[0], &job.1).await;
    assert!(eventually(60.0, async || simulation.running_task_count(&job.0) == 1).await);
    let history = Arc::new(Mutex::new(History::default()));
    // In its cache, it is read for the cancellation alone.
    assert!(query_status(&controllers[1], &job.0).await.is_some());
    simulation.state.lock().unwrap().pause_at = Some(FaultPoint {
        controller: "n-b".into(),
        request: "GET /store/o/",
        answered: true,
    });
    let (controller, id) = (controllers[1].clone(), job.0.clone());
    let cancels = simulation.run_on(
        "n-b",
        async move { user_api::cancel(&controller, &id).await },
    );
    let cancels = tokio::spawn(cancels);
    assert!(eventually(5.0, async || simulation.is_paused("n-b")).await);
    assert!(wait_until_done(&controllers[0], &job.0).await);
    let ask_at = |controller: &Arc<Controller>| {
        let (simulation, controller, history) =
            (simulation.clone(), controller.clone(), history.clone());
        request(simulation, controller, history, Request::Ask, job.clone())
    };
    ask_at(&controllers[0]).await;
    simulation.resume("n-b");
    assert_eq!(reply_status(&cancels.await.unwrap()), Some(JobStatus::Done));
    for controller in &controllers {
        ask_at(controller).await;
    }
    assert_eq!(history.lock().unwrap().stale_reads(), Vec::<String>::new());
    simulation.assert_rules();
}
