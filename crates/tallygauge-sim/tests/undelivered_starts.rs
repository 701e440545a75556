//! Direct messages with starts, as leaders of earlier versions sent them, that are held in transit
//! for longer than anything may be expected to end them: leases, incarnations, terms. The leader
//! of this version finds the record of the earlier one.

use serde_json::json;
use std::sync::Arc;
use tallygauge::controller::Controller;
use tallygauge_sim::{
    HEARTBEAT_INTERVAL_S, LEASE_S, Simulation, eventually, sleep_s, start_with_booted_machines,
    submit_job, wait_until_done,
};

/// A hold of direct commands that ends after the worker's lease has expired several times.
const HOLD_S: f64 = LEASE_S * 3.2;

/// Time between the restart of an agent and the arrival of a held message, short enough for the
/// agent to be in its first incarnation.
const RESTART_BEFORE_ARRIVAL_S: f64 = LEASE_S * 0.4;

/// A job of one task whose direct start, by a leader of an earlier version, is held in transit to one
/// of two machines. The other machine is free soon. The cloud answers nothing, so that no machine is returned or rented.
struct HeldStart {
    simulation: Arc<Simulation>,
    controller: Arc<Controller>,
    job: String,
    /// The machine to which the start is held.
    machine: String,
}

/// Number of the attempt of the job on a machine whose placement is durable.
fn durable_attempt(controller: &Controller, machine: &str, job: &str) -> Option<u64> {
    let attempt = controller.with_cluster(|cluster| {
        let attempts = cluster.workers.get(machine)?.attempts.iter();
        let mut durable = attempts.filter(|a| a.spec.id == job && a.batch.is_some());
        durable.next().map(|a| a.number)
    });
    attempt.flatten()
}

fn is_listed_as_up(controller: &Controller, machine: &str) -> bool {
    let is_listed = controller.with_cluster(|cluster| {
        let worker = cluster.workers.get(machine);
        worker.is_some_and(|worker| worker.booted_at.is_some())
    });
    is_listed == Some(true)
}

impl HeldStart {
    /// The other machine is free after `filler_run_s`. Heartbeats of the machine to which the
    /// start is held are blocked as well.
    async fn new(filler_run_s: f64) -> Self {
        let (simulation, controller, _task) = start_with_booted_machines(2).await;
        simulation.set_faults(|faults| faults.cloud_down = true);
        submit_job(&simulation, &controller, 2, 1, 7.0, filler_run_s).await;
        // A machine that was idle for longer would be about to be returned.
        let other = submit_job(&simulation, &controller, 3, 1, 2.0, 1.0).await;
        assert!(wait_until_done(&controller, &other).await);
        let is_cleaned_up = eventually(HEARTBEAT_INTERVAL_S * 2.0, async || {
            simulation.count_keys("p/") == 1
        });
        assert!(
            is_cleaned_up.await,
            "the next leader would restore the attempt"
        );
        let machine = simulation.machines_of_starts(&other).remove(0);
        simulation.hold_commands(&machine, HOLD_S);
        simulation.set_outbound_blocked(&machine, true);
        let job = submit_job(&simulation, &controller, 1, 1, 2.0, LEASE_S * 4.0).await;
        let is_placed = eventually(HEARTBEAT_INTERVAL_S, async || {
            durable_attempt(&controller, &machine, &job).is_some()
        });
        assert!(is_placed.await, "the task was not placed");
        let attempt = durable_attempt(&controller, &machine, &job).expect("placed");
        let term = controller.leadership.own_term().expect("the leader");
        simulation.hold_direct_start(&machine, term, &format!("{job}/0"), attempt, HOLD_S);
        assert_eq!(simulation.undelivered_starts(&job), 1);
        simulation.store_record("u/1-1", &json!({"a": [attempt]}));
        // The next leader has to learn that the machine is up.
        simulation.set_faults(|faults| faults.cloud_down = false);
        controller.leadership.step_down("an earlier version ends");
        let is_listed = eventually(LEASE_S, async || is_listed_as_up(&controller, &machine));
        assert!(
            is_listed.await,
            "the next leader has not listed the machines"
        );
        simulation.set_faults(|faults| faults.cloud_down = true);
        Self {
            simulation,
            controller,
            job,
            machine,
        }
    }

    fn set_heartbeats_blocked(&self, blocked: bool) {
        self.simulation.set_outbound_blocked(&self.machine, blocked);
    }

    /// Restarts the agent, lets the held start arrive, and unblocks the heartbeats. The start
    /// must have been held for all but [`RESTART_BEFORE_ARRIVAL_S`] of its time.
    async fn restart_agent_before_arrival(&self) {
        self.simulation.restart_agent(&self.machine);
        sleep_s(RESTART_BEFORE_ARRIVAL_S + HEARTBEAT_INTERVAL_S).await;
        self.simulation.assert_invariants();
        self.set_heartbeats_blocked(false);
    }

    /// Checks that the task runs on the machine to which its start is held, or nowhere.
    fn assert_not_started_elsewhere(&self) {
        for machine in self.simulation.machines_of_starts(&self.job) {
            assert_eq!(machine, self.machine);
        }
    }

    /// Checks that the job is done at last, and that no rule was broken.
    async fn assert_done(&self) {
        assert!(wait_until_done(&self.controller, &self.job).await);
        self.simulation.assert_invariants();
    }
}

// Guards against a task on two machines: the start was held for longer than two leases by a
// partition and executed by an agent that had restarted, while the task ran elsewhere.
#[tokio::test(start_paused = true)]
async fn task_whose_start_is_held_past_two_leases_is_not_started_elsewhere() {
    let held = HeldStart::new(LEASE_S * 2.4).await;
    sleep_s(HOLD_S - RESTART_BEFORE_ARRIVAL_S).await;
    held.assert_not_started_elsewhere();
    held.restart_agent_before_arrival().await;
    held.simulation
        .set_faults(|faults| faults.cloud_down = false);
    held.assert_done().await;
}

// Guards against taking a later incarnation, of which the leader was told, as the end of the
// start: the agent restarted after that.
#[tokio::test(start_paused = true)]
async fn held_start_does_not_run_twice_if_the_agent_restarts_after_a_later_incarnation() {
    let held = HeldStart::new(LEASE_S * 1.6).await;
    sleep_s(LEASE_S * 1.5).await;
    held.set_heartbeats_blocked(false);
    let is_running = eventually(LEASE_S, async || {
        held.simulation.running_task_count(&held.job) == 1
    });
    assert!(is_running.await, "no heartbeat response carried the start");
    held.assert_not_started_elsewhere();
    held.set_heartbeats_blocked(true);
    sleep_s(HOLD_S - LEASE_S * 1.5 - RESTART_BEFORE_ARRIVAL_S).await;
    held.restart_agent_before_arrival().await;
    held.assert_done().await;
}

// Guards against a task that waits for a machine with room for it although the partition is over.
#[tokio::test(start_paused = true)]
async fn task_with_a_held_start_runs_on_its_machine_as_soon_as_that_reports_again() {
    let held = HeldStart::new(LEASE_S * 2.4).await;
    sleep_s(LEASE_S * 2.5).await;
    held.set_heartbeats_blocked(false);
    let is_running = eventually(HEARTBEAT_INTERVAL_S * 3.0, async || {
        held.simulation.running_task_count(&held.job) == 1
    });
    assert!(is_running.await);
    held.assert_done().await;
}

// Guards against a task that waits for a machine that never reports again.
#[tokio::test(start_paused = true)]
async fn task_with_a_held_start_runs_elsewhere_once_its_silent_machine_is_returned() {
    let held = HeldStart::new(LEASE_S * 2.4).await;
    held.simulation
        .set_faults(|faults| faults.cloud_down = false);
    held.assert_done().await;
    assert!(!held.simulation.booted_machines().contains(&held.machine));
}

// Guards against a task on two machines: the leader that sent the start ended, and the next one
// took the lease of a machine that it never heard as the end of what was started there.
#[tokio::test(start_paused = true)]
async fn held_start_of_an_earlier_leader_does_not_run_on_a_restarted_agent_while_its_task_runs() {
    let held = HeldStart::new(LEASE_S * 2.4).await;
    held.controller.leadership.step_down("test");
    sleep_s(HOLD_S - RESTART_BEFORE_ARRIVAL_S).await;
    held.assert_not_started_elsewhere();
    held.restart_agent_before_arrival().await;
    held.simulation
        .set_faults(|faults| faults.cloud_down = false);
    held.assert_done().await;
}
