//! Fault injection: operations that make controllers, machines and messages fail.

use crate::{
    FaultPoint, FaultSettings, Simulation,
    machines::{SimWorker, job_of_task},
    repeated_requests::RepeatedRequests,
    state::DelayedMessage,
    store::TRANSACTION_PATH,
    worker_agent::poll_or_spawn,
};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde_json::{Value, json};
use std::{
    future::Future,
    sync::Arc,
    task::{Poll, Waker},
};
use tallygauge::controller::Controller;
use tallygauge_protocol::workers::{Command, DirectCommands};
use tokio::task::JoinHandle;
use warp::http::Method;

/// Sender of duplicated and replayed heartbeats, as recorded in the exchanged messages.
const DUPLICATE_SENDER: &str = "copy";

/// Faults of controllers.
impl Simulation {
    /// Changes the active faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut FaultSettings)) {
        change(&mut self.state.lock().unwrap().faults);
    }

    /// Runs a future as part of a controller's process: it is not polled while the
    /// controller is paused, although simulated time advances.
    pub fn run_on<F: Future>(
        self: &Arc<Self>,
        controller: &str,
        future: F,
    ) -> impl Future<Output = F::Output> + use<F> {
        let (simulation, controller) = (self.clone(), controller.to_string());
        let mut future = Box::pin(future);
        let span = tracing::info_span!("controller", name = controller);
        std::future::poll_fn(move |context| {
            let _entered = span.enter();
            let mut state = simulation.state.lock().unwrap();
            if let Some(wakers) = state.faults.paused.get_mut(&controller) {
                wakers.push(context.waker().clone());
                return Poll::Pending;
            }
            drop(state);
            future.as_mut().poll(context)
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

    /// Resumes a paused controller's process.
    pub fn resume(&self, controller: &str) {
        let wakers = self.state.lock().unwrap().faults.paused.remove(controller);
        wakers.into_iter().flatten().for_each(Waker::wake);
        self.controller_resumed.notify_waiters();
    }

    /// Whether a controller is paused.
    pub fn is_paused(&self, controller: &str) -> bool {
        let state = self.state.lock().unwrap();
        state.faults.paused.contains_key(controller)
    }

    /// Injects the faults that are set for this request, if any, and waits while the
    /// controller is paused. Called for each request before it is handled and again after
    /// its response.
    pub(crate) async fn wait_at_fault_point(
        &self,
        controller: &str,
        request: &str,
        after_response: bool,
    ) {
        let paused_now = self.inject_fault(controller, request, after_response);
        if paused_now && after_response {
            // The controller still reads the response: its process is paused from the next
            // poll of its task on.
            return;
        }
        loop {
            let resumed = self.controller_resumed.notified();
            if !self.is_paused(controller) {
                return;
            }
            resumed.await;
        }
    }

    /// Injects the faults that are set for this request. Returns whether they paused the
    /// controller.
    fn inject_fault(&self, controller: &str, request: &str, after_response: bool) -> bool {
        let mut state = self.state.lock().unwrap();
        let faults = &mut state.faults;
        let matches_request =
            |point: &FaultPoint| point.matches(controller, request, after_response);
        if faults.store_down_at.as_ref().is_some_and(matches_request) {
            faults.store_down_at = None;
            faults.store_down = true;
        }
        let is_paused_now = faults.pause_at.as_ref().is_some_and(matches_request);
        if is_paused_now {
            faults.pause_at = None;
            faults.paused.entry(controller.to_string()).or_default();
        }
        is_paused_now
    }

    /// Crashes a controller: aborts its background task and disconnects its workers.
    pub fn crash_controller(&self, name: &str, background: &JoinHandle<()>) {
        background.abort();
        self.disconnect_controller(name);
    }

    /// Partitions a controller from all workers, for good.
    pub fn disconnect_controller(&self, name: &str) {
        for slot in self.controllers.lock().unwrap().iter_mut() {
            if slot.as_ref().is_some_and(|c| c.settings.node_name == name) {
                *slot = None;
            }
        }
    }

    /// Partitions a controller from the store, or heals the partition. The requests of a
    /// partitioned controller get no response.
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

    /// Makes the store refuse a controller with status 503, or serve it again.
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
    /// Keeps a copy of a heartbeat if heartbeats are captured, and randomly schedules the
    /// delivery of a duplicate.
    pub(crate) fn schedule_duplicate(&self, now: f64, body: &[u8]) {
        let mut state = self.state.lock().unwrap();
        if state.faults.capture_heartbeats {
            state.captured_heartbeats.push(body.to_vec());
        }
        let duplicates = state.faults.duplicated_heartbeats;
        if state.draw_occurrence(duplicates.probability) {
            let due_at = now + state.random.random::<f64>() * duplicates.max_delay_s;
            let body = body.to_vec();
            state
                .delayed_heartbeats
                .push(DelayedMessage { due_at, body });
        }
    }

    /// Delivers the duplicates that are due.
    pub(crate) fn deliver_delayed_heartbeats(self: &Arc<Self>, now: f64) {
        let due: Vec<Vec<u8>> = {
            let mut state = self.state.lock().unwrap();
            let heartbeats = &mut state.delayed_heartbeats;
            let due = heartbeats.extract_if(.., |heartbeat| heartbeat.due_at <= now);
            due.map(|heartbeat| heartbeat.body).collect()
        };
        self.deliver_to_all_controllers(&due);
    }

    /// Delivers the captured heartbeats to every connected controller that is not paused,
    /// and discards them. Returns their number.
    pub fn replay_captured_heartbeats(self: &Arc<Self>) -> usize {
        let captured = std::mem::take(&mut self.state.lock().unwrap().captured_heartbeats);
        self.deliver_to_all_controllers(&captured);
        captured.len()
    }

    /// Delivers heartbeats to every connected controller that is not paused, and ignores the
    /// replies.
    fn deliver_to_all_controllers(self: &Arc<Self>, heartbeats: &[Vec<u8>]) {
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
                let (simulation, controller) = (self.clone(), controller.clone());
                let body = body.clone();
                let name = controller.settings.node_name.clone();
                poll_or_spawn(self.run_on(&name, async move {
                    let _ = simulation
                        .send_heartbeat(&controller, DUPLICATE_SENDER, &body)
                        .await;
                }));
            }
        }
    }
}

/// Faults of machines. They have no effect if the machine does not exist.
impl Simulation {
    /// Blocks messages to a machine, or unblocks them. While they are blocked, its heartbeats
    /// arrive, but neither their replies nor direct commands reach it.
    pub fn set_inbound_blocked(&self, machine: &str, blocked: bool) {
        self.change_worker(machine, |worker| worker.inbound_blocked = blocked);
    }

    /// Blocks a machine's heartbeats, or unblocks them. Direct commands still reach it.
    pub fn set_outbound_blocked(&self, machine: &str, blocked: bool) {
        self.change_worker(machine, |worker| worker.outbound_blocked = blocked);
    }

    /// Partitions a machine from all controllers, or heals the partition. Its tasks keep
    /// running.
    pub fn set_worker_partitioned(&self, machine: &str, partitioned: bool) {
        self.change_worker(machine, |worker| worker.partitioned = partitioned);
    }

    /// Holds direct commands to a machine in transit for this number of seconds from now on.
    pub fn hold_commands(&self, machine: &str, seconds: f64) {
        let held_until = self.now() + seconds;
        self.set_faults(|faults| {
            faults
                .commands_held_until
                .insert(machine.to_string(), held_until);
        });
    }

    /// Number of held or delayed start commands for tasks of a job.
    pub fn undelivered_starts(&self, job: &str) -> usize {
        let state = self.state.lock().unwrap();
        let messages = state.delayed_commands.iter();
        let commands = messages.flat_map(|message| message.decode().commands);
        commands
            .filter(|command| match command {
                Command::Start { task, .. } => {
                    job_of_task(task) == job && state.is_task_of_a_job(task)
                }
                Command::Stop { .. } | Command::Clear { .. } => false,
            })
            .count()
    }

    /// Number of held or delayed direct messages to a machine.
    pub fn undelivered_messages(&self, machine: &str) -> usize {
        let state = self.state.lock().unwrap();
        let messages = state.delayed_commands.iter();
        messages.filter(|message| message.worker == machine).count()
    }

    /// Puts a direct message in transit to a machine that starts an attempt there in incarnation
    /// 1, as leaders of earlier versions sent them. It arrives after this number of seconds.
    pub fn hold_direct_start(
        &self,
        machine: &str,
        term: u64,
        task: &str,
        attempt: u64,
        seconds: f64,
    ) {
        let message = DirectCommands {
            token: term,
            incarnation: 1,
            commands: vec![Command::Start {
                task: task.to_string(),
                attempt,
            }],
        };
        let body = serde_json::to_vec(&message).unwrap();
        let due_at = self.now() + seconds;
        let mut state = self.state.lock().unwrap();
        state.delay_commands(machine, due_at, body);
    }

    /// Stores a record of an earlier version's leader, without any condition.
    pub fn store_record(&self, key: &str, value: &Value) {
        let body = json!({"guards": [], "writes": [{"set": key, "value": value}]});
        let body = body.to_string().into_bytes();
        self.repeat_store_request(&Method::POST, TRANSACTION_PATH, &body);
    }

    /// Hangs a machine, or ends the hang. While it hangs, its tasks make no progress and
    /// direct commands to it are delayed until the hang ends.
    pub fn set_hung(&self, machine: &str, hung: bool) {
        let now = self.now();
        self.state.lock().unwrap().advance(now);
        self.change_worker(machine, |worker| worker.hung_since = hung.then_some(now));
    }

    /// Restarts a machine's agent without downtime: its tasks are lost and its incarnation
    /// is 1 again.
    pub fn restart_agent(&self, machine: &str) {
        let now = self.now();
        self.change_worker(machine, |worker| worker.restart(now));
    }

    /// Destroys a machine with its tasks. The cloud no longer lists it.
    pub fn destroy(&self, machine: &str) {
        let mut state = self.state.lock().unwrap();
        state.workers.remove(machine);
        state.machines.remove(machine);
    }

    /// Changes a worker, if it exists.
    fn change_worker(&self, machine: &str, change: impl FnOnce(&mut SimWorker)) {
        let mut state = self.state.lock().unwrap();
        if let Some(worker) = state.workers.get_mut(machine) {
            change(worker);
        }
    }
}

/// Random numbers, and violations that tests inject to verify the checkers.
impl Simulation {
    /// Seeds the random number generator of the simulation.
    pub fn seed(&self, seed: u64) {
        let mut state = self.state.lock().unwrap();
        state.random = StdRng::seed_from_u64(seed);
        state.repeated_requests = RepeatedRequests::from_seed(seed);
    }

    /// Starts a task on two machines, which no controller may do.
    pub fn start_task_twice(&self, task: &str) {
        let now = self.now();
        let mut state = self.state.lock().unwrap();
        for (attempt, worker) in (1..).zip(state.worker_names().into_iter().take(2)) {
            let task = task.to_string();
            state.execute_commands(now, &worker, &[Command::Start { task, attempt }]);
        }
    }

    /// Records that a user has now been told that a job is cancelled. Only the first time
    /// counts.
    pub fn record_cancellation(&self, id: &str) {
        let now = self.now();
        let mut state = self.state.lock().unwrap();
        state.cancelled_at.entry(id.to_string()).or_insert(now);
    }

    /// Forgets the completed tasks of a job, as if it had been reported done too early.
    pub fn forget_completions(&self, id: &str) {
        let mut state = self.state.lock().unwrap();
        state.completed_tasks.retain(|task| job_of_task(task) != id);
    }
}
