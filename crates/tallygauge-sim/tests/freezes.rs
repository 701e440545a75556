//! Controllers that stand still for seconds while their clocks run on: what
//! they knew before is looked at again before they act on it.

use std::{sync::Arc, time::Duration};
use tallygauge::{
    controller::Controller,
    user_api::{self, Relay, RelayFuture},
};
use tallygauge_protocol::users::JobStatus;
use tallygauge_sim::{
    CANCEL_TIMEOUT_S, FaultPoint, RelayTo, Simulation, count_starts, eventually, query_status,
    reply_status, start_with_leader, submit_until_accepted,
};
use warp::http::Method;

/// Cancels a job, through whichever controller answers.
async fn cancelled(
    simulation: &Simulation,
    controllers: &[&Arc<Controller>],
    id: &str,
) -> JobStatus {
    let mut told = None;
    let done = eventually(60.0, async || {
        for controller in controllers {
            if simulation.is_paused(&controller.settings.node_name) {
                continue;
            }
            told = reply_status(&user_api::cancel(controller, id).await);
            if told.is_some() {
                return true;
            }
        }
        false
    });
    assert!(done.await, "{id} can't be cancelled");
    let told = told.unwrap();
    if told == JobStatus::Cancelled {
        simulation.record_cancellation(id);
    }
    told
}

#[tokio::test(start_paused = true)]
async fn a_leader_that_stood_still_returns_no_machine_that_its_successor_uses() {
    // After the pause all machines look idle for long to it, and it may have
    // been replaced: it returned machines on which its successor's tasks ran.
    let (simulation, a, _task_a) = start_with_leader().await;
    let (_, body) = simulation.job(1, 2, 8.0, 5.0);
    submit_until_accepted(&a, &body).await;
    assert!(eventually(60.0, async || count_starts(&simulation) == 2).await);
    assert!(
        eventually(60.0, async || a.with_cluster(|c| c.jobs.is_empty())
            == Some(true))
        .await
    );
    simulation.pause("n-a");
    let (b, _task_b) = simulation.start_controller("n-b");
    let (other, body) = simulation.job(2, 2, 8.0, 60.0);
    submit_until_accepted(&b, &body).await;
    assert!(eventually(20.0, async || count_starts(&simulation) == 4).await);
    tokio::time::sleep(Duration::from_secs(10)).await;
    // Nobody tells it what has happened: neither workers nor the state service.
    simulation
        .state
        .lock()
        .unwrap()
        .partitioned
        .insert("n-a".into());
    simulation.resume("n-a");
    assert!(
        eventually(90.0, async || query_status(&b, &other).await
            == Some(JobStatus::Done))
        .await
    );
    assert_eq!(simulation.state.lock().unwrap().returned_running_tasks, 0);
    assert_eq!(count_starts(&simulation), 4, "nothing ran again");
    simulation.assert_rules();
}

#[tokio::test(start_paused = true)]
async fn a_leader_that_stood_still_commands_nobody_before_it_knows_that_it_leads() {
    // The answer to its watch of jobs lay there when it went on, with a
    // cancellation: it told workers at once, in the name of a term long gone.
    let (simulation, a, _task_a) = start_with_leader().await;
    let (id, body) = simulation.job(1, 2, 8.0, 90.0);
    submit_until_accepted(&a, &body).await;
    assert!(eventually(60.0, async || count_starts(&simulation) == 2).await);
    let (b, _task_b) = simulation.start_controller("n-b");
    simulation.state.lock().unwrap().hang_job_watches = true;
    assert_eq!(
        cancelled(&simulation, &[&b], &id).await,
        JobStatus::Cancelled
    );
    {
        let mut state = simulation.state.lock().unwrap();
        state.hang_job_watches = false;
        state.pause_at = Some(FaultPoint {
            controller: "n-a".into(),
            request: "GET /changes?starts=o/",
            answered: true,
        });
    }
    assert!(eventually(5.0, async || simulation.is_paused("n-a")).await);
    let still_since = simulation.now();
    // Its successor uses the same machines.
    let (_, body) = simulation.job(2, 2, 8.0, 60.0);
    submit_until_accepted(&b, &body).await;
    assert!(eventually(8.0, async || count_starts(&simulation) == 4).await);
    // Past the fence, though its workers' sessions have not run out yet.
    let rest = a.fence_s() + 0.5 - (simulation.now() - still_since);
    tokio::time::sleep(Duration::from_secs_f64(rest)).await;
    simulation
        .state
        .lock()
        .unwrap()
        .partitioned
        .insert("n-a".into());
    simulation.resume("n-a");
    tokio::time::sleep(Duration::from_secs(10)).await;
    let state = simulation.state.lock().unwrap();
    assert_eq!(
        state.rejected_commands, 0,
        "a message of an old term went out"
    );
    assert!(state.violations.is_empty(), "{:?}", state.violations);
}

#[tokio::test(start_paused = true)]
async fn what_was_true_before_a_node_stood_still_is_asked_again() {
    // The state service called the job open, then the controller stood still; its
    // user cancelled the job through another, and was told that it is pending.
    let (simulation, a, _task_a) = start_with_leader().await;
    let (b, _task_b) = simulation.start_controller("n-b");
    let (id, body) = simulation.job(1, 1, 8.0, 90.0);
    submit_until_accepted(&b, &body).await;
    simulation.state.lock().unwrap().pause_at = Some(FaultPoint {
        controller: "n-b".into(),
        request: "POST /multi",
        answered: true,
    });
    let (w, n, job) = (simulation.clone(), b.clone(), id.clone());
    let poll = tokio::spawn(async move {
        let poll = async { reply_status(&user_api::job_status(&n, &job).await) };
        w.run_on("n-b", poll).await
    });
    assert!(eventually(5.0, async || simulation.is_paused("n-b")).await);
    assert_eq!(
        cancelled(&simulation, &[&a], &id).await,
        JobStatus::Cancelled
    );
    tokio::time::sleep(Duration::from_millis(1500)).await;
    simulation.resume("n-b");
    assert_eq!(poll.await.unwrap(), Some(JobStatus::Cancelled));
}

/// Passes requests on to another controller, and makes its own stand still once it
/// has the answer.
struct ThenStill(RelayTo, Arc<Simulation>, &'static str);

impl Relay for ThenStill {
    fn relay<'a>(&'a self, method: &'a Method, path: &'a str, body: &'a [u8]) -> RelayFuture<'a> {
        Box::pin(async move {
            let answer = self.0.relay(method, path, body).await;
            self.1.pause(self.2);
            tokio::task::yield_now().await;
            answer
        })
    }
}

#[tokio::test(start_paused = true)]
async fn an_answer_relayed_before_a_node_stood_still_is_not_passed_on() {
    let (simulation, a, _task_a) = start_with_leader().await;
    let (b, _task_b) = simulation.start_controller("n-b");
    let (id, body) = simulation.job(1, 1, 8.0, 90.0);
    submit_until_accepted(&a, &body).await;
    simulation
        .state
        .lock()
        .unwrap()
        .partitioned
        .insert("n-b".into());
    // It has to find out that it is refused.
    let _ = user_api::job_status(&b, &id).await;
    *b.lock(&b.relay) = Some(Arc::new(ThenStill(
        RelayTo(a.clone()),
        simulation.clone(),
        "n-b",
    )));
    let (w, n, path) = (simulation.clone(), b.clone(), format!("/work/{id}"));
    let poll = tokio::spawn(async move {
        let poll = async {
            let reply = user_api::serve(&n, &Method::GET, &path, b"").await.unwrap();
            (reply.status(), reply.body())
        };
        w.run_on("n-b", poll).await
    });
    assert!(eventually(5.0, async || simulation.is_paused("n-b")).await);
    assert_eq!(
        cancelled(&simulation, &[&a], &id).await,
        JobStatus::Cancelled
    );
    tokio::time::sleep(Duration::from_millis(1500)).await;
    simulation.resume("n-b");
    let (status, body) = poll.await.unwrap();
    let body = String::from_utf8(body).unwrap();
    assert!(
        status == 503 || body.contains("cancelled"),
        "{status} {body}"
    );
}

/// A day of three jobs on two controllers, one of which stands still for `pause_s` at
/// the place given; one job is cancelled meanwhile, another submitted.
async fn stands_still(at: FaultPoint, pause_s: f64, both: bool, down: bool) {
    let what = format!(
        "{} answered={} {pause_s} s both={both} down={down}",
        at.request, at.answered
    );
    let (simulation, a, _task_a) = start_with_leader().await;
    let (b, _task_b) = simulation.start_controller("n-b");
    let (first, body) = simulation.job(1, 5, 4.0, 12.0);
    submit_until_accepted(&a, &body).await;
    let (second, body) = simulation.job(2, 3, 4.0, 30.0);
    submit_until_accepted(&b, &body).await;
    assert!(
        eventually(60.0, async || count_starts(&simulation) >= 4).await,
        "{what}"
    );
    let who = at.controller.clone();
    simulation.state.lock().unwrap().pause_at = Some(at);
    let other = if who == "n-a" { &b } else { &a };
    // It has happened within a while, or does now.
    eventually(20.0, async || simulation.is_paused(&who)).await;
    simulation.state.lock().unwrap().pause_at = None;
    simulation.pause(&who);
    if both {
        simulation.pause(&other.settings.node_name);
    }
    if down {
        simulation.set_store_down(true);
    }
    let (third, body) = simulation.job(3, 2, 2.0, 5.0);
    let submission = simulation.run_on(
        &other.settings.node_name,
        submit_until_accepted(other, &body),
    );
    let pause = async {
        if !both && !down {
            cancelled(&simulation, &[other], &second).await;
        }
        tokio::time::sleep(Duration::from_secs_f64(pause_s)).await;
        simulation.set_store_down(false);
        simulation.resume(&who);
        simulation.resume(&other.settings.node_name);
    };
    tokio::join!(submission, pause);
    let told = cancelled(&simulation, &[&a, &b], &second).await;
    for (controller, id, end) in [
        (&a, &first, JobStatus::Done),
        (&b, &first, JobStatus::Done),
        (&a, &third, JobStatus::Done),
        (&b, &third, JobStatus::Done),
        (&a, &second, told),
        (&b, &second, told),
    ] {
        let said = eventually(200.0, async || {
            query_status(controller, id).await == Some(end)
        })
        .await;
        assert!(said, "{what}: {id}");
    }
    tokio::time::sleep(Duration::from_secs_f64(CANCEL_TIMEOUT_S)).await;
    let state = simulation.state.lock().unwrap();
    assert!(
        state.violations.is_empty(),
        "{what}: {:?}",
        state.violations
    );
}

#[tokio::test(start_paused = true)]
async fn no_rule_breaks_wherever_a_node_stands_still() {
    let requests = [
        "POST /multi",
        "POST /orders",
        "POST /leases/",
        "POST /machines",
        "GET /machines",
        "GET /changes?starts=o/",
        "GET /changes?starts=t/",
        "GET /store",
    ];
    for request in requests {
        for (controller, answered, pause_s) in [
            ("n-a", false, 8.0),
            ("n-a", true, 8.0),
            ("n-a", true, 35.0),
            ("n-b", true, 8.0),
        ] {
            let controller = controller.to_string();
            let at = FaultPoint {
                controller,
                request,
                answered,
            };
            stands_still(at, pause_s, false, false).await;
        }
    }
    for (both, down) in [(true, false), (false, true), (true, true)] {
        let at = FaultPoint {
            controller: "n-a".into(),
            request: "POST /multi",
            answered: true,
        };
        stands_still(at, 16.0, both, down).await;
    }
}
