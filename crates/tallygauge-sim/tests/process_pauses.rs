//! Controllers whose process is paused for seconds while clocks run on: what they knew
//! before the pause is verified before they act on it.

#![allow(
    clippy::unwrap_used,
    reason = "a test ends on a value that it does not expect"
)]

use std::{sync::Arc, time::Duration};
use tallygauge::{
    controller::Controller,
    user_api::{self, Relay, RelayFuture},
};
use tallygauge_protocol::users::JobStatus;
use tallygauge_sim::{
    CANCEL_TIMEOUT_S, FaultPoint, JobRequest, RelayTo, Simulation, count_starts, eventually,
    query_status, reply_status, sleep_s, start_with_leader, submit_job, submit_until_accepted,
};
use warp::http::Method;

/// Cancels a job through the first controller that answers; returns the status that
/// the user got.
async fn cancel_through_any(
    simulation: &Simulation,
    controllers: &[&Arc<Controller>],
    id: &str,
) -> JobStatus {
    let mut status = None;
    let done = eventually(60.0, async || {
        for controller in controllers {
            if simulation.is_paused(&controller.settings.node_name) {
                continue;
            }
            status = reply_status(&user_api::cancel(controller, id).await);
            if status.is_some() {
                return true;
            }
        }
        false
    });
    assert!(done.await, "{id} can't be cancelled");
    let status = status.unwrap();
    if status == JobStatus::Cancelled {
        simulation.record_cancellation(id);
    }
    status
}

#[tokio::test(start_paused = true)]
async fn paused_leader_returns_no_machine_its_successor_uses() {
    // After the pause all machines seem long idle to it, though its successor may use
    // them: it used to return machines on which its successor's tasks ran.
    let (simulation, controller_a, _task_a) = start_with_leader().await;
    submit_job(&simulation, &controller_a, 1, 2, 8.0, 5.0).await;
    assert!(eventually(60.0, async || count_starts(&simulation) == 2).await);
    assert!(
        eventually(60.0, async || controller_a
            .with_cluster(|cluster| cluster.jobs.is_empty())
            == Some(true))
        .await
    );
    simulation.pause("n-a");
    let (controller_b, _task_b) = simulation.start_controller("n-b");
    let other = submit_job(&simulation, &controller_b, 2, 2, 8.0, 60.0).await;
    assert!(eventually(20.0, async || count_starts(&simulation) == 4).await);
    sleep_s(10.0).await;
    // Neither workers nor the store tell it of the new term.
    simulation.set_store_partitioned("n-a", true);
    simulation.resume("n-a");
    assert!(
        eventually(90.0, async || query_status(&controller_b, &other).await
            == Some(JobStatus::Done))
        .await
    );
    assert_eq!(simulation.state.lock().unwrap().returned_running_tasks, 0);
    assert_eq!(count_starts(&simulation), 4, "nothing ran again");
    simulation.assert_invariants();
}

#[tokio::test(start_paused = true)]
async fn paused_leader_sends_no_commands_before_confirming_leadership() {
    // When it resumed, the response to its job watch was waiting with a cancellation:
    // it used to send stops at once with the fencing token of a past term.
    let (simulation, controller_a, _task_a) = start_with_leader().await;
    let id = submit_job(&simulation, &controller_a, 1, 2, 8.0, 90.0).await;
    assert!(eventually(60.0, async || count_starts(&simulation) == 2).await);
    let (controller_b, _task_b) = simulation.start_controller("n-b");
    simulation.set_faults(|faults| faults.hang_job_watches = true);
    assert_eq!(
        cancel_through_any(&simulation, &[&controller_b], &id).await,
        JobStatus::Cancelled
    );
    simulation.set_faults(|faults| {
        faults.hang_job_watches = false;
        faults.pause_at = Some(FaultPoint::after_response("n-a", "GET /changes?starts=o/"));
    });
    assert!(eventually(5.0, async || simulation.is_paused("n-a")).await);
    let paused_at = simulation.now();
    // Its successor uses the same machines.
    submit_job(&simulation, &controller_b, 2, 2, 8.0, 60.0).await;
    assert!(eventually(8.0, async || count_starts(&simulation) == 4).await);
    // Past the fence, though the leases of its workers have not expired yet.
    let rest = controller_a.fencing_timeout_s() + 0.5 - (simulation.now() - paused_at);
    sleep_s(rest).await;
    simulation.set_store_partitioned("n-a", true);
    simulation.resume("n-a");
    sleep_s(10.0).await;
    let state = simulation.state.lock().unwrap();
    assert_eq!(
        state.rejected_commands, 0,
        "a message of an old term went out"
    );
    assert!(state.violations.is_empty(), "{:?}", state.violations);
}

#[tokio::test(start_paused = true)]
async fn status_read_before_a_pause_is_verified_again() {
    // The store showed the job as active, then the controller was paused; its user
    // cancelled the job through another, and then read that it was pending.
    let (simulation, controller_a, _task_a) = start_with_leader().await;
    let (controller_b, _task_b) = simulation.start_controller("n-b");
    let id = submit_job(&simulation, &controller_b, 1, 1, 8.0, 90.0).await;
    simulation.set_faults(|faults| {
        faults.pause_at = Some(FaultPoint::after_response("n-b", "POST /multi"))
    });
    let (sim, controller, job) = (simulation.clone(), controller_b.clone(), id.clone());
    let poll = tokio::spawn(async move {
        let poll = async { reply_status(&user_api::job_status(&controller, &job).await) };
        sim.run_on("n-b", poll).await
    });
    assert!(eventually(5.0, async || simulation.is_paused("n-b")).await);
    assert_eq!(
        cancel_through_any(&simulation, &[&controller_a], &id).await,
        JobStatus::Cancelled
    );
    tokio::time::sleep(Duration::from_millis(1500)).await;
    simulation.resume("n-b");
    assert_eq!(poll.await.unwrap(), Some(JobStatus::Cancelled));
}

/// Relays requests to a peer, and pauses its own controller once it has the answer.
struct RelayThenPause {
    relay: RelayTo,
    simulation: Arc<Simulation>,
    controller: &'static str,
}

impl Relay for RelayThenPause {
    fn relay<'a>(&'a self, method: &'a Method, path: &'a str, body: &'a [u8]) -> RelayFuture<'a> {
        Box::pin(async move {
            let answer = self.relay.relay(method, path, body).await;
            self.simulation.pause(self.controller);
            tokio::task::yield_now().await;
            answer
        })
    }
}

#[tokio::test(start_paused = true)]
async fn relayed_answer_received_before_a_pause_is_dropped() {
    let (simulation, controller_a, _task_a) = start_with_leader().await;
    let (controller_b, _task_b) = simulation.start_controller("n-b");
    let JobRequest { id, body } = simulation.job(1, 1, 8.0, 90.0);
    submit_until_accepted(&controller_a, &body).await;
    simulation.set_store_partitioned("n-b", true);
    // This request finds out that the store is unreachable.
    let _ = user_api::job_status(&controller_b, &id).await;
    controller_b.relay.set(Arc::new(RelayThenPause {
        relay: RelayTo(controller_a.clone()),
        simulation: simulation.clone(),
        controller: "n-b",
    }));
    let (sim, controller, path) = (
        simulation.clone(),
        controller_b.clone(),
        format!("/work/{id}"),
    );
    let poll = tokio::spawn(async move {
        let poll = async {
            let reply = user_api::serve(&controller, &Method::GET, &path, b"")
                .await
                .unwrap();
            (reply.status(), reply.body())
        };
        sim.run_on("n-b", poll).await
    });
    assert!(eventually(5.0, async || simulation.is_paused("n-b")).await);
    assert_eq!(
        cancel_through_any(&simulation, &[&controller_a], &id).await,
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

/// Runs three jobs on two controllers, one of which is paused for `pause_s` at the point
/// given; meanwhile one job is cancelled and another submitted. With `both` the other
/// controller is paused as well, with `down` the store refuses everybody meanwhile.
async fn pause_controller_at(at: FaultPoint, pause_s: f64, both: bool, down: bool) {
    let what = format!(
        "{} answered={} {pause_s} s both={both} down={down}",
        at.request, at.after_response
    );
    let (simulation, controller_a, _task_a) = start_with_leader().await;
    let (controller_b, _task_b) = simulation.start_controller("n-b");
    let first = submit_job(&simulation, &controller_a, 1, 5, 4.0, 12.0).await;
    let second = submit_job(&simulation, &controller_b, 2, 3, 4.0, 30.0).await;
    assert!(
        eventually(60.0, async || count_starts(&simulation) >= 4).await,
        "{what}"
    );
    let paused = at.controller.clone();
    simulation.set_faults(|faults| faults.pause_at = Some(at));
    let other = if paused == "n-a" {
        &controller_b
    } else {
        &controller_a
    };
    // If the point is not reached in time, the controller is paused now.
    eventually(20.0, async || simulation.is_paused(&paused)).await;
    simulation.set_faults(|faults| faults.pause_at = None);
    simulation.pause(&paused);
    if both {
        simulation.pause(&other.settings.node_name);
    }
    if down {
        simulation.set_store_down(true);
    }
    let JobRequest { id: third, body } = simulation.job(3, 2, 2.0, 5.0);
    let submission = simulation.run_on(
        &other.settings.node_name,
        submit_until_accepted(other, &body),
    );
    let pause = async {
        if !both && !down {
            cancel_through_any(&simulation, &[other], &second).await;
        }
        sleep_s(pause_s).await;
        simulation.set_store_down(false);
        simulation.resume(&paused);
        simulation.resume(&other.settings.node_name);
    };
    tokio::join!(submission, pause);
    let status = cancel_through_any(&simulation, &[&controller_a, &controller_b], &second).await;
    for (controller, id, end) in [
        (&controller_a, &first, JobStatus::Done),
        (&controller_b, &first, JobStatus::Done),
        (&controller_a, &third, JobStatus::Done),
        (&controller_b, &third, JobStatus::Done),
        (&controller_a, &second, status),
        (&controller_b, &second, status),
    ] {
        let said = eventually(200.0, async || {
            query_status(controller, id).await == Some(end)
        })
        .await;
        assert!(said, "{what}: {id}");
    }
    sleep_s(CANCEL_TIMEOUT_S).await;
    let state = simulation.state.lock().unwrap();
    assert!(
        state.violations.is_empty(),
        "{what}: {:?}",
        state.violations
    );
}

#[tokio::test(start_paused = true)]
async fn pause_at_any_request_breaks_no_invariant() {
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
        for (controller, after_response, pause_s) in [
            ("n-a", false, 8.0),
            ("n-a", true, 8.0),
            ("n-a", true, 35.0),
            ("n-b", true, 8.0),
        ] {
            let controller = controller.to_string();
            let at = FaultPoint {
                controller,
                request,
                after_response,
            };
            pause_controller_at(at, pause_s, false, false).await;
        }
    }
    for (both, down) in [(true, false), (false, true), (true, true)] {
        let at = FaultPoint::after_response("n-a", "POST /multi");
        pause_controller_at(at, 16.0, both, down).await;
    }
}
