//! Faults that befall controllers, machines and what they say to each other.

use crate::Simulation;
use rand::{RngExt, SeedableRng};
use std::{
    future::Future,
    sync::Arc,
    task::{Poll, Waker},
};
use tallygauge::controller::Controller;
use tallygauge_protocol::workers::Command;
use tokio::task::JoinHandle;

/// A step of a controller at which something befalls it: a request of its own.
pub struct FaultPoint {
    pub controller: String,
    /// What method and path begin with.
    pub request: &'static str,
    /// At the next wait after the answer was read, instead of before the request
    /// goes out.
    pub answered: bool,
}

impl Simulation {
    /// Runs something on a controller: it makes no step while the controller stands still,
    /// though its clocks run on.
    pub fn run_on<F: Future>(
        self: &Arc<Self>,
        controller: &str,
        work: F,
    ) -> impl Future<Output = F::Output> + use<F> {
        let (simulation, controller) = (self.clone(), controller.to_string());
        let mut work = Box::pin(work);
        let span = tracing::info_span!("node", controller);
        std::future::poll_fn(move |cx| {
            let _entered = span.enter();
            if let Some(waiting) = simulation.state.lock().unwrap().paused.get_mut(&controller) {
                waiting.push(cx.waker().clone());
                return Poll::Pending;
            }
            work.as_mut().poll(cx)
        })
    }

    /// Makes a controller stand still.
    pub fn pause(&self, controller: &str) {
        let mut state = self.state.lock().unwrap();
        state.paused.entry(controller.to_string()).or_default();
    }

    /// Lets a controller go on.
    pub fn resume(&self, controller: &str) {
        let waiting = self.state.lock().unwrap().paused.remove(controller);
        waiting.into_iter().flatten().for_each(Waker::wake);
        self.resumed.notify_waiters();
    }

    /// Whether a controller stands still.
    pub fn is_paused(&self, controller: &str) -> bool {
        self.state.lock().unwrap().paused.contains_key(controller)
    }

    /// A request of a controller passes here on its way out and back: while the controller
    /// stands still, nothing does.
    pub(crate) async fn wait_at_fault_point(
        &self,
        controller: &str,
        request: &str,
        answered: bool,
    ) {
        {
            let mut state = self.state.lock().unwrap();
            let here = |at: &FaultPoint| {
                at.controller == controller
                    && at.answered == answered
                    && request.starts_with(at.request)
            };
            if state.store_down_at.as_ref().is_some_and(here) {
                state.store_down_at = None;
                state.store_down = true;
            }
            if state.pause_at.as_ref().is_some_and(here) {
                state.pause_at = None;
                state.paused.entry(controller.to_string()).or_default();
                if answered {
                    return;
                }
            }
        }
        loop {
            let resumed = self.resumed.notified();
            if !self.is_paused(controller) {
                return;
            }
            resumed.await;
        }
    }

    /// Crashes a controller: aborts its background task and disconnects its workers.
    pub fn crash_controller(&self, name: &str, background: &JoinHandle<()>) {
        background.abort();
        self.disconnect_controller(name);
    }

    /// Takes a controller off the network of the workers, as when it crashes.
    pub fn disconnect_controller(&self, name: &str) {
        for slot in self.controllers.lock().unwrap().iter_mut() {
            if slot.as_ref().is_some_and(|n| n.settings.node_name == name) {
                *slot = None;
            }
        }
    }

    /// Lets a report come again some time later, as chance has it.
    pub(crate) fn schedule_duplicate(&self, now: f64, body: &[u8]) {
        let mut state = self.state.lock().unwrap();
        if state.capture_heartbeats {
            state.captured_heartbeats.push(body.to_vec());
        }
        let (part, most) = state.duplicated_heartbeats;
        if part > 0.0 && state.random.random::<f64>() < part {
            let at = now + state.random.random::<f64>() * most;
            state.delayed_heartbeats.push((at, body.to_vec()));
        }
    }

    /// Brings copies that are due to every controller that is up: nobody waits for the
    /// answers.
    pub(crate) fn deliver_delayed_heartbeats(&self, now: f64) {
        let due: Vec<Vec<u8>> = {
            let mut state = self.state.lock().unwrap();
            let due = state.delayed_heartbeats.extract_if(.., |c| c.0 <= now);
            due.map(|c| c.1).collect()
        };
        self.deliver_to_all_controllers(&due);
    }

    /// Brings the copies of reports that were kept to every controller that is up.
    /// Returns how many there were.
    pub fn replay_captured_heartbeats(&self) -> usize {
        let kept = std::mem::take(&mut self.state.lock().unwrap().captured_heartbeats);
        self.deliver_to_all_controllers(&kept);
        kept.len()
    }

    fn deliver_to_all_controllers(&self, reports: &[Vec<u8>]) {
        if reports.is_empty() {
            return;
        }
        let controllers: Vec<Arc<Controller>> = self
            .controllers
            .lock()
            .unwrap()
            .iter()
            .flatten()
            .cloned()
            .collect();
        for controller in controllers
            .iter()
            .filter(|n| !self.is_paused(&n.settings.node_name))
        {
            for body in reports {
                let _ = self.send_heartbeat(controller, "copy", body);
            }
        }
    }

    /// Chance follows from a seed.
    pub fn seed(&self, seed: u64) {
        self.state.lock().unwrap().random = rand::rngs::StdRng::seed_from_u64(seed);
    }

    /// A machine's reports go on to arrive; answers and commands don't reach it.
    pub fn set_inbound_blocked(&self, worker: &str, inbound_blocked: bool) {
        let mut state = self.state.lock().unwrap();
        if let Some(w) = state.workers.get_mut(worker) {
            w.inbound_blocked = inbound_blocked;
        }
    }

    /// A machine's reports don't arrive; direct commands reach it.
    pub fn set_outbound_blocked(&self, worker: &str, outbound_blocked: bool) {
        let mut state = self.state.lock().unwrap();
        if let Some(w) = state.workers.get_mut(worker) {
            w.outbound_blocked = outbound_blocked;
        }
    }

    /// A machine is gone with all that is on it; the list shows it no more.
    pub fn destroy(&self, worker: &str) {
        let mut state = self.state.lock().unwrap();
        state.workers.remove(worker);
        state.machines.remove(worker);
    }

    /// A machine is back within a fraction of a second, all that ran there gone:
    /// its worker counts from the beginning.
    pub fn restart_agent(&self, worker: &str) {
        let now = self.now();
        let mut state = self.state.lock().unwrap();
        if let Some(w) = state.workers.get_mut(worker) {
            w.tasks.clear();
            (w.incarnation, w.sequence, w.fencing_token, w.answered) = (1, 0, 0, now);
        }
    }

    /// Starts a task on two machines, as no controller may.
    pub fn start_task_twice(&self, task: &str) {
        let now = self.now();
        let mut state = self.state.lock().unwrap();
        for (attempt, name) in (1..).zip(state.worker_names().into_iter().take(2)) {
            let task = task.to_string();
            state.execute_commands(now, &name, &[Command::Start { task, attempt }]);
        }
    }

    /// A user is told now that a job is cancelled.
    pub fn record_cancellation(&self, id: &str) {
        let now = self.now();
        let mut state = self.state.lock().unwrap();
        state.cancelled.entry(id.to_string()).or_insert(now);
    }

    pub fn set_silent(&self, worker: &str, silent: bool) {
        let mut state = self.state.lock().unwrap();
        // It may be gone.
        if let Some(w) = state.workers.get_mut(worker) {
            w.silent = silent;
        }
    }

    /// A machine hangs: it does nothing, and what is sent to it waits; or it goes
    /// on.
    pub fn set_hung(&self, worker: &str, hangs: bool) {
        let now = self.now();
        let mut state = self.state.lock().unwrap();
        state.advance(now);
        if let Some(w) = state.workers.get_mut(worker) {
            w.hung_since = hangs.then_some(now);
        }
    }

    /// Partitions a controller from the store, or heals the partition: its requests get
    /// no response.
    pub fn set_store_partitioned(&self, controller: &str, partitioned: bool) {
        let mut state = self.state.lock().unwrap();
        if partitioned {
            state.partitioned.insert(controller.to_string());
        } else {
            state.partitioned.remove(controller);
        }
    }

    /// The state service refuses a controller alone, or serves it again.
    pub fn set_store_refuses(&self, controller: &str, refuses: bool) {
        let mut state = self.state.lock().unwrap();
        if refuses {
            state.refused.insert(controller.to_string());
        } else {
            state.refused.remove(controller);
        }
    }
}
