//! Copies of direct commands that a worker executed and answered before. A copy arrives at any
//! later time: after the attempt has ended and was cleared, after its job was cancelled, and after
//! a restart of the controller or of the agent.

use std::sync::Arc;
use tallygauge::controller::Controller;
use tallygauge_sim::{
    CANCEL_TIMEOUT_S, HEARTBEAT_INTERVAL_S, JobShape, LEASE_S, Simulation, cancel_until_confirmed,
    eventually, is_active_leader, sleep_s, start_with_booted_machines, submit_job,
    submit_job_with_shape,
};
use tokio::task::JoinHandle;

/// Run time of each attempt of the job, in seconds: long enough for an attempt to be cleared
/// while the next one runs.
const RUN_S: f64 = HEARTBEAT_INTERVAL_S * 5.0;

/// Time in which an ended attempt is reported, answered and cleared, in seconds.
const CLEAR_S: f64 = HEARTBEAT_INTERVAL_S * 2.5;

/// Number of an attempt that no worker knows.
const UNKNOWN_ATTEMPT: u64 = (1 << 28) + 5000;

/// A job of one task whose attempts fail or are cancelled, on machines that take one task each.
/// All direct commands that were answered are kept, to arrive once more.
struct AnsweredStart {
    simulation: Arc<Simulation>,
    controller: Arc<Controller>,
    background: JoinHandle<()>,
    job: String,
    /// The machine on which the first attempt runs.
    machine: String,
}

impl AnsweredStart {
    /// The first attempt is running, and its worker has reported it.
    async fn new(shape: JobShape) -> Self {
        let (simulation, controller, background) = start_with_booted_machines(2).await;
        simulation.set_faults(|faults| {
            faults.capture_commands = true;
            // No machine is returned for being idle.
            faults.cloud_down = true;
        });
        // The other machine is busy until the first attempt ends: an idle one would take no work.
        let filler = submit_job(&simulation, &controller, 2, 1, 8.0, RUN_S).await;
        let is_filled = eventually(LEASE_S, async || {
            simulation.running_task_count(&filler) == 1
        });
        assert!(is_filled.await, "the other machine is free");
        let shape = JobShape { cpus: 8.0, ..shape };
        let job = submit_job_with_shape(&simulation, &controller, 1, shape).await;
        let is_running = eventually(LEASE_S, async || simulation.running_task_count(&job) == 1);
        assert!(is_running.await, "the task was not started");
        let machine = simulation.machines_of_starts(&job).remove(0);
        Self {
            simulation,
            controller,
            background,
            job,
            machine,
        }
    }

    /// The first attempt has failed and was cleared; the next one runs on the other machine.
    async fn moved() -> Self {
        let shape = JobShape {
            run_s: RUN_S,
            fails: true,
            ..JobShape::default()
        };
        let moved = Self::new(shape).await;
        let has_moved = eventually(LEASE_S, async || moved.elsewhere_count() == 1);
        assert!(has_moved.await, "the task was not started elsewhere");
        sleep_s(CLEAR_S).await;
        moved.assert_runs_elsewhere();
        moved
    }

    /// The job was cancelled more than `cancel_s` ago; its attempt was stopped and cleared.
    async fn cancelled() -> Self {
        let shape = JobShape {
            run_s: CANCEL_TIMEOUT_S * 4.0,
            ..JobShape::default()
        };
        let cancelled = Self::new(shape).await;
        let (simulation, job) = (&cancelled.simulation, &cancelled.job);
        cancel_until_confirmed(simulation, &cancelled.controller, job, LEASE_S).await;
        sleep_s(CANCEL_TIMEOUT_S + HEARTBEAT_INTERVAL_S).await;
        cancelled
    }

    fn elsewhere_count(&self) -> usize {
        let machines = self.simulation.machines_of_starts(&self.job);
        machines
            .iter()
            .filter(|name| **name != self.machine)
            .count()
    }

    fn assert_runs_elsewhere(&self) {
        assert_eq!(self.simulation.running_task_count(&self.job), 1);
        assert_eq!(self.elsewhere_count(), 1);
    }

    /// Ends the controller and starts it again under the same name.
    fn restart_controller(&mut self) {
        self.simulation.crash_controller("n-a", &self.background);
        (self.controller, self.background) = self.simulation.start_controller("n-a");
    }

    /// Delivers copies of all answered direct commands, and checks that they break no rule.
    async fn assert_copies_are_harmless(&self) {
        let executed = self.simulation.replay_captured_commands();
        assert!(executed > 0, "no copy was executed");
        sleep_s(HEARTBEAT_INTERVAL_S * 3.0).await;
        self.simulation.assert_invariants();
    }
}

// Guards against `ran_twice`: a copy of an answered start runs a task that has moved.
#[tokio::test(start_paused = true)]
async fn copy_of_an_answered_start_does_not_run_a_task_that_has_moved() {
    let moved = AnsweredStart::moved().await;
    moved.assert_copies_are_harmless().await;
}

// Guards against `ran_twice`: the same with a controller that was back at once.
#[tokio::test(start_paused = true)]
async fn copy_of_an_answered_start_does_not_run_a_moved_task_after_a_controller_restart() {
    let mut moved = AnsweredStart::moved().await;
    moved.restart_controller();
    moved.assert_copies_are_harmless().await;
}

// Guards against `ran_twice`: the same with a machine that was back at once.
#[tokio::test(start_paused = true)]
async fn copy_of_an_answered_start_does_not_run_a_moved_task_on_a_restarted_agent() {
    let moved = AnsweredStart::moved().await;
    moved.simulation.restart_agent(&moved.machine);
    moved.assert_copies_are_harmless().await;
}

// Guards against `ran_cancelled`: a copy of an answered start runs a cancelled task.
#[tokio::test(start_paused = true)]
async fn copy_of_an_answered_start_does_not_run_a_cancelled_task() {
    let cancelled = AnsweredStart::cancelled().await;
    cancelled.assert_copies_are_harmless().await;
}

// Guards against `ran_cancelled`: the same with a machine that was back at once.
#[tokio::test(start_paused = true)]
async fn copy_of_an_answered_start_does_not_run_a_cancelled_task_on_a_restarted_agent() {
    let cancelled = AnsweredStart::cancelled().await;
    cancelled.simulation.restart_agent(&cancelled.machine);
    cancelled.assert_copies_are_harmless().await;
}

// Guards against `ran_twice`: the copy comes after the machine has restarted a second time.
#[tokio::test(start_paused = true)]
async fn copy_of_an_answered_start_does_not_run_a_moved_task_after_a_second_agent_restart() {
    let moved = AnsweredStart::moved().await;
    moved.simulation.restart_agent(&moved.machine);
    sleep_s(HEARTBEAT_INTERVAL_S * 0.5).await;
    moved.assert_runs_elsewhere();
    moved.simulation.restart_agent(&moved.machine);
    moved.assert_copies_are_harmless().await;
}

// Guards against `ran_cancelled`: the copy comes to a restarted machine in the next term.
#[tokio::test(start_paused = true)]
async fn copy_of_an_answered_start_does_not_run_a_cancelled_task_in_the_next_term() {
    let mut cancelled = AnsweredStart::cancelled().await;
    cancelled.restart_controller();
    sleep_s(LEASE_S).await;
    cancelled.simulation.restart_agent(&cancelled.machine);
    cancelled.assert_copies_are_harmless().await;
}

// Guards against `ran_twice` during a roll-out: a leader of an earlier version started the task
// directly, and a copy of that message arrives in the term of the next leader.
#[tokio::test(start_paused = true)]
async fn copy_of_an_earlier_versions_start_is_refused_once_the_next_leader_is_known() {
    let mut moved = AnsweredStart::moved().await;
    let earlier_term = moved.controller.leadership.own_term().expect("the leader");
    moved.restart_controller();
    let controller = moved.controller.clone();
    let is_leader = eventually(LEASE_S, async || is_active_leader(&controller));
    assert!(is_leader.await);
    sleep_s(HEARTBEAT_INTERVAL_S * 1.2).await;
    let task = format!("{}/0", moved.job);
    let simulation = &moved.simulation;
    simulation.hold_direct_start(&moved.machine, earlier_term, &task, UNKNOWN_ATTEMPT, 0.1);
    sleep_s(HEARTBEAT_INTERVAL_S).await;
    assert_eq!(simulation.state.lock().unwrap().rejected_commands, 1);
    simulation.assert_invariants();
}
