//! Cancellations of tasks that were placed while direct messages to their machine are held in
//! transit. No held message may start a task, so nothing that goes on has to end for it.

use std::sync::Arc;
use tallygauge::controller::Controller;
use tallygauge_sim::{
    CANCEL_TIMEOUT_S, HEARTBEAT_INTERVAL_S, JobShape, Simulation, cancel_until_confirmed,
    count_starts, eventually, sleep_s, start_with_booted_machines, submit_job,
    submit_job_with_shape, wait_until_done,
};

/// A hold of direct commands that ends well after the cancel timeout.
const LONG_HOLD_S: f64 = CANCEL_TIMEOUT_S * 1.5;

/// A hold that ends before the cancel timeout.
const SHORT_HOLD_S: f64 = CANCEL_TIMEOUT_S * 0.6;

/// Number of the first failing job.
const FIRST_FAILING_JOB: u32 = 10;

/// A cluster with one booted machine and a leader that knows it.
async fn start_with_one_machine() -> (Arc<Simulation>, Arc<Controller>, String) {
    let (simulation, controller, _task) = start_with_booted_machines(1).await;
    sleep_s(HEARTBEAT_INTERVAL_S).await;
    let machine = simulation.booted_machines().remove(0);
    (simulation, controller, machine)
}

/// Starts jobs that fail on every machine, one after the other.
async fn submit_failing_jobs(simulation: &Simulation, controller: &Arc<Controller>, count: u32) {
    for number in 0..count {
        let shape = JobShape {
            run_s: 3.0 + f64::from(number),
            fails: true,
            ..JobShape::default()
        };
        submit_job_with_shape(simulation, controller, FIRST_FAILING_JOB + number, shape).await;
    }
    sleep_s(HEARTBEAT_INTERVAL_S * 2.0).await;
}

/// Submits a job while direct messages to the only machine are held for `hold_s`, and cancels it
/// before the next heartbeat. Checks that a message is in transit, and that it starts no task.
async fn cancel_job_during_hold(
    simulation: &Simulation,
    controller: &Arc<Controller>,
    machine: &str,
    hold_s: f64,
) -> String {
    simulation.hold_commands(machine, hold_s);
    simulation.set_outbound_blocked(machine, true);
    let id = submit_job(simulation, controller, 1, 2, 1.0, 100.0).await;
    let is_held = eventually(HEARTBEAT_INTERVAL_S, async || {
        simulation.undelivered_messages(machine) > 0
    });
    assert!(is_held.await, "no direct message is in transit");
    assert_eq!(simulation.undelivered_starts(&id), 0);
    cancel_until_confirmed(simulation, controller, &id, 1.0).await;
    assert_eq!(simulation.running_task_count(&id), 0);
    simulation.set_outbound_blocked(machine, false);
    id
}

#[tokio::test(start_paused = true)]
async fn machine_is_not_returned_for_a_task_that_was_cancelled_before_it_was_started() {
    let (simulation, controller, machine) = start_with_one_machine().await;
    let other = submit_job(&simulation, &controller, 2, 1, 1.0, LONG_HOLD_S * 2.0).await;
    sleep_s(HEARTBEAT_INTERVAL_S).await;
    cancel_job_during_hold(&simulation, &controller, &machine, LONG_HOLD_S).await;
    sleep_s(LONG_HOLD_S + HEARTBEAT_INTERVAL_S).await;
    assert!(simulation.booted_machines().contains(&machine));
    assert_eq!(simulation.running_task_count(&other), 1);
    simulation.assert_invariants();
}

#[tokio::test(start_paused = true)]
async fn cancelled_task_does_not_run_after_a_hold_on_machine_already_decided_as_faulty() {
    let (simulation, controller, machine) = start_with_one_machine().await;
    submit_failing_jobs(&simulation, &controller, 2).await;
    cancel_job_during_hold(&simulation, &controller, &machine, LONG_HOLD_S).await;
    sleep_s(LONG_HOLD_S + HEARTBEAT_INTERVAL_S).await;
    simulation.assert_invariants();
}

#[tokio::test(start_paused = true)]
async fn cancelled_task_does_not_run_after_a_hold_while_the_cloud_refuses_returns() {
    let (simulation, controller, machine) = start_with_one_machine().await;
    let earlier = submit_job(&simulation, &controller, 2, 1, 1.0, 1.0).await;
    assert!(wait_until_done(&controller, &earlier).await);
    cancel_job_during_hold(&simulation, &controller, &machine, LONG_HOLD_S).await;
    simulation.set_faults(|faults| faults.cloud_down = true);
    sleep_s(LONG_HOLD_S + HEARTBEAT_INTERVAL_S).await;
    simulation.assert_invariants();
}

#[tokio::test(start_paused = true)]
async fn task_beside_a_cancelled_one_keeps_its_lease_while_the_cloud_refuses_returns() {
    let (simulation, controller, machine) = start_with_one_machine().await;
    let other = submit_job(&simulation, &controller, 2, 1, 1.0, 60.0).await;
    sleep_s(HEARTBEAT_INTERVAL_S).await;
    cancel_job_during_hold(&simulation, &controller, &machine, LONG_HOLD_S).await;
    simulation.set_faults(|faults| faults.cloud_down = true);
    sleep_s(LONG_HOLD_S + HEARTBEAT_INTERVAL_S).await;
    simulation.set_faults(|faults| faults.cloud_down = false);
    assert_eq!(count_starts(&simulation), 1, "the other task was lost");
    assert!(wait_until_done(&controller, &other).await);
    assert_eq!(count_starts(&simulation), 1, "the other task was lost");
    simulation.assert_invariants();
}

#[tokio::test(start_paused = true)]
async fn task_beside_a_cancelled_one_keeps_running_if_the_hold_ends_in_time() {
    let (simulation, controller, machine) = start_with_one_machine().await;
    let other = submit_job(&simulation, &controller, 2, 1, 1.0, 60.0).await;
    sleep_s(HEARTBEAT_INTERVAL_S).await;
    let cancelled = cancel_job_during_hold(&simulation, &controller, &machine, SHORT_HOLD_S).await;
    assert!(wait_until_done(&controller, &other).await);
    assert_eq!(simulation.running_task_count(&cancelled), 0);
    assert_eq!(count_starts(&simulation), 1, "the other task was lost");
    assert!(simulation.booted_machines().contains(&machine));
    simulation.assert_invariants();
}

#[tokio::test(start_paused = true)]
async fn cancelled_task_does_not_run_after_a_hold_after_a_failover() {
    let (simulation, controller, machine) = start_with_one_machine().await;
    let (_follower, _task) = simulation.start_controller("n-b");
    let earlier = submit_job(&simulation, &controller, 2, 1, 1.0, 1.0).await;
    assert!(wait_until_done(&controller, &earlier).await);
    cancel_job_during_hold(&simulation, &controller, &machine, LONG_HOLD_S).await;
    simulation.set_faults(|faults| faults.cloud_down = true);
    controller.leadership.step_down("test");
    sleep_s(LONG_HOLD_S + HEARTBEAT_INTERVAL_S).await;
    assert!(simulation.state.lock().unwrap().rejected_commands > 0);
    simulation.assert_invariants();
}

#[tokio::test(start_paused = true)]
async fn cancelled_task_does_not_run_after_a_hold_on_a_restarted_agent() {
    let (simulation, controller, machine) = start_with_one_machine().await;
    let other = submit_job(&simulation, &controller, 2, 1, 1.0, 100.0).await;
    sleep_s(HEARTBEAT_INTERVAL_S).await;
    simulation.hold_commands(&machine, LONG_HOLD_S);
    let id = submit_job(&simulation, &controller, 1, 1, 1.0, 100.0).await;
    let is_running = eventually(HEARTBEAT_INTERVAL_S * 3.0, async || {
        simulation.running_task_count(&id) == 1
    });
    assert!(is_running.await, "no heartbeat response carried the start");
    cancel_until_confirmed(&simulation, &controller, &id, 1.0).await;
    sleep_s(LONG_HOLD_S * 0.8).await;
    assert_eq!(simulation.running_task_count(&id), 0);
    assert_eq!(simulation.running_task_count(&other), 1);
    simulation.restart_agent(&machine);
    sleep_s(LONG_HOLD_S * 0.2).await;
    simulation.assert_invariants();
}
