//! Fault injection: operations that make controllers, machines and their messages fail.

use crate::{
    FaultPoint, FaultSettings, Simulation,
    machines::{SimWorker, job_of_task},
    state::DelayedMessage,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use std::{
    future::Future,
    sync::Arc,
    task::{Poll, Waker},
};
use tallygauge::controller::Controller;
use tallygauge_protocol::workers::Command;
use tokio::task::JoinHandle;

/// The sender of duplicated and replayed heartbeats in the record of messages.
const DUPLICATE_SENDER: &str = "copy";

/// Faults of controllers.
impl Simulation {
    /// Changes the faults in force.
    pub fn set_faults(&self, change: impl FnOnce(&mut FaultSettings)) {
        change(&mut self.state.lock().unwrap().faults);
    }

    /// Runs a future on a controller: it is not polled while the controller is paused,
    /// though simulated time goes on.
    pub fn run_on<F: Future>(
        self: &Arc<Self>,
        controller: &str,
        work: F,
    ) -> impl Future<Output = F::Output> + use<F> {
        let (simulation, controller) = (self.clone(), controller.to_string());
        let mut work = Box::pin(work);
        let span = tracing::info_span!("controller", name = controller);
        std::future::poll_fn(move |context| {
            let _entered = span.enter();
            let mut state = simulation.state.lock().unwrap();
            if let Some(wakers) = state.faults.paused.get_mut(&controller) {
                wakers.push(context.waker().clone());
                return Poll::Pending;
            }
            drop(state);
            work.as_mut().poll(context)
        })
    }

    /// Pauses a controller's process.
    pub fn pause(&self, controller: &str) {
        let mut state = self.state.lock().unwrap();
        state
            .faults
            .paused
            .entry(controller.to_string())
            .or_default();
    }

    /// Resumes a paused controller.
    pub fn resume(&self, controller: &str) {
        let wakers = self.state.lock().unwrap().faults.paused.remove(controller);
        wakers.into_iter().flatten().for_each(Waker::wake);
        self.resumed.notify_waiters();
    }

    /// Whether a controller is paused.
    pub fn is_paused(&self, controller: &str) -> bool {
        let state = self.state.lock().unwrap();
        state.faults.paused.contains_key(controller)
    }

    /// Injects the fault that is set for this request, if there is one, and waits while
    /// the controller is paused. A request passes here on its way out and back.
    pub(crate) async fn wait_at_fault_point(
        &self,
        controller: &str,
        request: &str,
        after_response: bool,
    ) {
        let paused_here = self.inject_fault(controller, request, after_response);
        if paused_here && after_response {
            // The response is read; the next poll of the controller's task waits.
            return;
        }
        loop {
            let resumed = self.resumed.notified();
            if !self.is_paused(controller) {
                return;
            }
            resumed.await;
        }
    }

    /// Injects the faults that are set for this request. Returns whether the controller
    /// was paused by that.
    fn inject_fault(&self, controller: &str, request: &str, after_response: bool) -> bool {
        let mut state = self.state.lock().unwrap();
        let faults = &mut state.faults;
        let is_here = |point: &FaultPoint| point.matches(controller, request, after_response);
        if faults.store_down_at.as_ref().is_some_and(is_here) {
            faults.store_down_at = None;
            faults.store_down = true;
        }
        let is_paused_here = faults.pause_at.as_ref().is_some_and(is_here);
        if is_paused_here {
            faults.pause_at = None;
            faults.paused.entry(controller.to_string()).or_default();
        }
        is_paused_here
    }

    /// Crashes a controller: aborts its background task and disconnects its workers.
    pub fn crash_controller(&self, name: &str, background: &JoinHandle<()>) {
        background.abort();
        self.disconnect_controller(name);
    }

    /// Partitions a controller from all workers.
    pub fn disconnect_controller(&self, name: &str) {
        for slot in self.controllers.lock().unwrap().iter_mut() {
            if slot.as_ref().is_some_and(|c| c.settings.node_name == name) {
                *slot = None;
            }
        }
    }

    /// Partitions a controller from the store, or heals the partition: its requests get
    /// no response.
    pub fn set_store_partitioned(&self, controller: &str, partitioned: bool) {
        let mut state = self.state.lock().unwrap();
        if partitioned {
            state
                .faults
                .store_partitioned
                .insert(controller.to_string());
        } else {
            state.faults.store_partitioned.remove(controller);
        }
    }

    /// Makes the store refuse one controller, or serve it again.
    pub fn set_store_refuses(&self, controller: &str, refuses: bool) {
        let mut state = self.state.lock().unwrap();
        if refuses {
            state.faults.store_refused.insert(controller.to_string());
        } else {
            state.faults.store_refused.remove(controller);
        }
    }
}

/// Duplicated heartbeats.
impl Simulation {
    /// Keeps a copy of a heartbeat if copies are captured, and schedules a duplicate at
    /// random.
    pub(crate) fn schedule_duplicate(&self, now: f64, body: &[u8]) {
        let mut state = self.state.lock().unwrap();
        if state.faults.capture_heartbeats {
            state.captured_heartbeats.push(body.to_vec());
        }
        let duplicates = state.faults.duplicated_heartbeats;
        if state.strikes(duplicates.probability) {
            let due_at = now + state.random.random::<f64>() * duplicates.max_delay_s;
            let body = body.to_vec();
            state
                .delayed_heartbeats
                .push(DelayedMessage { due_at, body });
        }
    }

    /// Delivers duplicates that are due.
    pub(crate) fn deliver_delayed_heartbeats(&self, now: f64) {
        let due: Vec<Vec<u8>> = {
            let mut state = self.state.lock().unwrap();
            let heartbeats = &mut state.delayed_heartbeats;
            let due = heartbeats.extract_if(.., |heartbeat| heartbeat.due_at <= now);
            due.map(|heartbeat| heartbeat.body).collect()
        };
        self.deliver_to_all_controllers(&due);
    }

    /// Delivers the captured copies of heartbeats to every controller. Returns how many
    /// there were.
    pub fn replay_captured_heartbeats(&self) -> usize {
        let captured = std::mem::take(&mut self.state.lock().unwrap().captured_heartbeats);
        self.deliver_to_all_controllers(&captured);
        captured.len()
    }

    /// Delivers heartbeats to every connected controller that is not paused; nobody reads
    /// the answers.
    fn deliver_to_all_controllers(&self, heartbeats: &[Vec<u8>]) {
        if heartbeats.is_empty() {
            return;
        }
        let connected: Vec<Arc<Controller>> = {
            let controllers = self.controllers.lock().unwrap();
            controllers.iter().flatten().cloned().collect()
        };
        let running = connected
            .iter()
            .filter(|controller| !self.is_paused(&controller.settings.node_name));
        for controller in running {
            for body in heartbeats {
                let _ = self.send_heartbeat(controller, DUPLICATE_SENDER, body);
            }
        }
    }
}

/// Faults of machines. Each does nothing if the machine does not exist.
impl Simulation {
    /// Blocks what is sent to a machine, or unblocks it: its heartbeats arrive, but neither
    /// answers nor direct commands reach it.
    pub fn set_inbound_blocked(&self, machine: &str, blocked: bool) {
        self.change_worker(machine, |worker| worker.inbound_blocked = blocked);
    }

    /// Blocks a machine's heartbeats, or unblocks them; direct commands reach it.
    pub fn set_outbound_blocked(&self, machine: &str, blocked: bool) {
        self.change_worker(machine, |worker| worker.outbound_blocked = blocked);
    }

    /// Partitions a machine from all controllers, or heals the partition; its tasks run on.
    pub fn set_worker_partitioned(&self, machine: &str, partitioned: bool) {
        self.change_worker(machine, |worker| worker.partitioned = partitioned);
    }

    /// Hangs a machine, or lets it go on: meanwhile its tasks make no progress and what is
    /// sent to it waits.
    pub fn set_hung(&self, machine: &str, hung: bool) {
        let now = self.now();
        self.state.lock().unwrap().advance(now);
        self.change_worker(machine, |worker| worker.hung_since = hung.then_some(now));
    }

    /// Restarts a machine's agent at once: its tasks are gone and it begins again with the
    /// first incarnation.
    pub fn restart_agent(&self, machine: &str) {
        let now = self.now();
        self.change_worker(machine, |worker| worker.restart(now));
    }

    /// Destroys a machine with its tasks; the cloud lists it no more.
    pub fn destroy(&self, machine: &str) {
        let mut state = self.state.lock().unwrap();
        state.workers.remove(machine);
        state.machines.remove(machine);
    }

    /// Changes a worker, unless its machine is gone.
    fn change_worker(&self, machine: &str, change: impl FnOnce(&mut SimWorker)) {
        let mut state = self.state.lock().unwrap();
        if let Some(worker) = state.workers.get_mut(machine) {
            change(worker);
        }
    }
}

/// Random numbers, and violations that tests of the checkers inject.
impl Simulation {
    /// Seeds the random numbers of all faults that follow.
    pub fn seed(&self, seed: u64) {
        self.state.lock().unwrap().random = StdRng::seed_from_u64(seed);
    }

    /// Starts a task on two machines, as no controller may.
    pub fn start_task_twice(&self, task: &str) {
        let now = self.now();
        let mut state = self.state.lock().unwrap();
        for (attempt, worker) in (1..).zip(state.worker_names().into_iter().take(2)) {
            let task = task.to_string();
            state.execute_commands(now, &worker, &[Command::Start { task, attempt }]);
        }
    }

    /// Records that a user is told now that a job is cancelled.
    pub fn record_cancellation(&self, id: &str) {
        let now = self.now();
        let mut state = self.state.lock().unwrap();
        state.cancelled_at.entry(id.to_string()).or_insert(now);
    }

    /// Forgets that tasks of a job completed, as if the job were called done too soon.
    pub fn forget_completions(&self, id: &str) {
        let mut state = self.state.lock().unwrap();
        state.completed_tasks.retain(|task| job_of_task(task) != id);
    }
}
