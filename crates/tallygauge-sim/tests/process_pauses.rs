//! Controllers whose process is paused for seconds while clocks run on: they have to verify
//! what they knew before the pause before they act on it.

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

/// Cancels a job through the first controller that answers, and returns the status that
/// the user got. Skips paused controllers.
async fn cancel_through_any(
    simulation: &Simulation,
    controllers: &[&Arc<Controller>],
    id: &str,
) -> JobStatus {
    let mut status = None;
    let was_answered = eventually(60.0, async || {
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
    assert!(
        was_answered.await,
        "no controller answered the cancellation of {id}"
    );
    let status = status.unwrap();
    if status == JobStatus::Cancelled {
        simulation.record_cancellation(id);
    }
    status
}

// To a leader that resumes after a pause, all machines seem to have been idle for long,
// though its successor may use them. It used to return machines on which tasks of its
// successor ran.
#[tokio::test(start_paused = true)]
async fn paused_leader_returns_no_machine_its_successor_uses() {
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
    let second = submit_job(&simulation, &controller_b, 2, 2, 8.0, 60.0).await;
    assert!(eventually(20.0, async || count_starts(&simulation) == 4).await);
    sleep_s(10.0).await;
    // The resumed leader learns of the new term neither from workers nor from the store.
    simulation.set_store_partitioned("n-a", true);
    simulation.resume("n-a");
    assert!(
        eventually(90.0, async || query_status(&controller_b, &second).await
            == Some(JobStatus::Done))
        .await
    );
    assert_eq!(simulation.state.lock().unwrap().returned_running_tasks, 0);
    assert_eq!(count_starts(&simulation), 4, "a task ran again");
    simulation.assert_invariants();
}

// When a paused leader resumes, the response to its job watch is waiting and contains a
// cancellation. The leader used to send stop commands at once, with the fencing token of a
// past term.
#[tokio::test(start_paused = true)]
async fn paused_leader_sends_no_commands_before_confirming_leadership() {
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
    // The successor starts tasks on the same machines.
    submit_job(&simulation, &controller_b, 2, 2, 8.0, 60.0).await;
    assert!(eventually(8.0, async || count_starts(&simulation) == 4).await);
    // The pause exceeds the fencing timeout, but the worker leases have not expired yet.
    let remaining_s = controller_a.fencing_timeout_s() + 0.5 - (simulation.now() - paused_at);
    sleep_s(remaining_s).await;
    simulation.set_store_partitioned("n-a", true);
    simulation.resume("n-a");
    sleep_s(10.0).await;
    let state = simulation.state.lock().unwrap();
    assert_eq!(
        state.rejected_commands, 0,
        "a command of a past term was sent"
    );
    assert!(state.violations.is_empty(), "{:?}", state.violations);
}

// A controller is paused after it has read from the store that a job is active, and the
// user cancels the job through another controller. The resumed controller used to answer
// the earlier status request with pending.
#[tokio::test(start_paused = true)]
async fn status_read_before_a_pause_is_verified_again() {
    let (simulation, controller_a, _task_a) = start_with_leader().await;
    let (controller_b, _task_b) = simulation.start_controller("n-b");
    let id = submit_job(&simulation, &controller_b, 1, 1, 8.0, 90.0).await;
    simulation.set_faults(|faults| {
        faults.pause_at = Some(FaultPoint::after_response("n-b", "POST /multi"))
    });
    let (poll_simulation, controller, job_id) =
        (simulation.clone(), controller_b.clone(), id.clone());
    let poll = tokio::spawn(async move {
        let request = async { reply_status(&user_api::job_status(&controller, &job_id).await) };
        poll_simulation.run_on("n-b", request).await
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

/// Relays requests to a peer, and pauses its own controller when it has the reply.
struct RelayThenPause {
    relay: RelayTo,
    simulation: Arc<Simulation>,
    controller: &'static str,
}

impl Relay for RelayThenPause {
    fn relay<'a>(&'a self, method: &'a Method, path: &'a str, body: &'a [u8]) -> RelayFuture<'a> {
        Box::pin(async move {
            let reply = self.relay.relay(method, path, body).await;
            self.simulation.pause(self.controller);
            tokio::task::yield_now().await;
            reply
        })
    }
}

// A controller that the store does not answer relays a status request to its peer and is
// paused when it has the reply; meanwhile the job is cancelled through the peer. After the
// pause, the reply is outdated and must not be passed on to the user.
#[tokio::test(start_paused = true)]
async fn relayed_reply_received_before_a_pause_is_dropped() {
    let (simulation, controller_a, _task_a) = start_with_leader().await;
    let (controller_b, _task_b) = simulation.start_controller("n-b");
    let JobRequest { id, body } = simulation.job(1, 1, 8.0, 90.0);
    submit_until_accepted(&controller_a, &body).await;
    simulation.set_store_partitioned("n-b", true);
    // By this request the controller finds that the store is unreachable.
    let _ = user_api::job_status(&controller_b, &id).await;
    controller_b.relay.set(Arc::new(RelayThenPause {
        relay: RelayTo(controller_a.clone()),
        simulation: simulation.clone(),
        controller: "n-b",
    }));
    let (poll_simulation, controller, path) = (
        simulation.clone(),
        controller_b.clone(),
        format!("/work/{id}"),
    );
    let poll = tokio::spawn(async move {
        let request = async {
            let reply = user_api::serve(&controller, &Method::GET, &path, b"")
                .await
                .unwrap();
            (reply.status(), reply.body())
        };
        poll_simulation.run_on("n-b", request).await
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

/// Runs three jobs on two controllers and checks their final statuses on both. One
/// controller is paused for `pause_s` at `fault_point`; meanwhile one job is cancelled
/// and another one submitted. With `both_paused`, the other controller is paused as well.
/// With `store_down`, the store refuses all requests during the pause.
async fn pause_controller_at(
    fault_point: FaultPoint,
    pause_s: f64,
    both_paused: bool,
    store_down: bool,
) {
    let description = format!(
        "{} after response={} {pause_s} s both paused={both_paused} store down={store_down}",
        fault_point.request, fault_point.after_response
    );
    let (simulation, controller_a, _task_a) = start_with_leader().await;
    let (controller_b, _task_b) = simulation.start_controller("n-b");
    let first = submit_job(&simulation, &controller_a, 1, 5, 4.0, 12.0).await;
    let second = submit_job(&simulation, &controller_b, 2, 3, 4.0, 30.0).await;
    assert!(
        eventually(60.0, async || count_starts(&simulation) >= 4).await,
        "{description}"
    );
    let paused_name = fault_point.controller.clone();
    simulation.set_faults(|faults| faults.pause_at = Some(fault_point));
    let other_controller = if paused_name == "n-a" {
        &controller_b
    } else {
        &controller_a
    };
    // If the fault point is not reached in time, the controller is paused now.
    eventually(20.0, async || simulation.is_paused(&paused_name)).await;
    simulation.set_faults(|faults| faults.pause_at = None);
    simulation.pause(&paused_name);
    if both_paused {
        simulation.pause(&other_controller.settings.node_name);
    }
    if store_down {
        simulation.set_store_down(true);
    }
    let JobRequest { id: third, body } = simulation.job(3, 2, 2.0, 5.0);
    let submission = simulation.run_on(
        &other_controller.settings.node_name,
        submit_until_accepted(other_controller, &body),
    );
    let pause = async {
        if !both_paused && !store_down {
            cancel_through_any(&simulation, &[other_controller], &second).await;
        }
        sleep_s(pause_s).await;
        simulation.set_store_down(false);
        simulation.resume(&paused_name);
        simulation.resume(&other_controller.settings.node_name);
    };
    tokio::join!(submission, pause);
    let status = cancel_through_any(&simulation, &[&controller_a, &controller_b], &second).await;
    for (controller, id, final_status) in [
        (&controller_a, &first, JobStatus::Done),
        (&controller_b, &first, JobStatus::Done),
        (&controller_a, &third, JobStatus::Done),
        (&controller_b, &third, JobStatus::Done),
        (&controller_a, &second, status),
        (&controller_b, &second, status),
    ] {
        let is_reported = eventually(200.0, async || {
            query_status(controller, id).await == Some(final_status)
        })
        .await;
        assert!(is_reported, "{description}: {id}");
    }
    sleep_s(CANCEL_TIMEOUT_S).await;
    let state = simulation.state.lock().unwrap();
    assert!(
        state.violations.is_empty(),
        "{description}: {:?}",
        state.violations
    );
}

// A controller is paused before or after each kind of request that it sends to the store
// or the cloud. If it acted on what it had read before the pause, tasks or statuses could
// contradict what the other controller did meanwhile.
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
            let fault_point = FaultPoint {
                controller,
                request,
                after_response,
            };
            pause_controller_at(fault_point, pause_s, false, false).await;
        }
    }
    for (both_paused, store_down) in [(true, false), (false, true), (true, true)] {
        let fault_point = FaultPoint::after_response("n-a", "POST /multi");
        pause_controller_at(fault_point, 16.0, both_paused, store_down).await;
    }
}
