//! Troubles that befall controllers, machines and what they say to each other.

use crate::Simulation;
use rand::{RngExt, SeedableRng};
use std::{
    future::Future,
    sync::Arc,
    task::{Poll, Waker},
};
use tallygauge::controller::Controller;
use tallygauge_protocol::workers::Command;

/// A step of a node at which something befalls it: a request of its own.
pub struct StepAt {
    pub node: String,
    /// What method and path begin with.
    pub request: &'static str,
    /// At the next wait after the answer was read, instead of before the request
    /// goes out.
    pub answered: bool,
}

impl Simulation {
    /// Runs something on a node: it makes no step while the node stands still,
    /// though its clocks run on.
    pub fn on<F: Future>(
        self: &Arc<Self>,
        node: &str,
        work: F,
    ) -> impl Future<Output = F::Output> + use<F> {
        let (world, node) = (self.clone(), node.to_string());
        let mut work = Box::pin(work);
        let span = tracing::info_span!("node", node);
        std::future::poll_fn(move |cx| {
            let _entered = span.enter();
            if let Some(waiting) = world.state.lock().unwrap().frozen.get_mut(&node) {
                waiting.push(cx.waker().clone());
                return Poll::Pending;
            }
            work.as_mut().poll(cx)
        })
    }

    /// Makes a node stand still.
    pub fn pause(&self, node: &str) {
        let mut inner = self.state.lock().unwrap();
        inner.frozen.entry(node.to_string()).or_default();
    }

    /// Lets a node go on.
    pub fn resume(&self, node: &str) {
        let waiting = self.state.lock().unwrap().frozen.remove(node);
        waiting.into_iter().flatten().for_each(Waker::wake);
        self.resumed.notify_waiters();
    }

    /// Whether a node stands still.
    pub fn is_paused(&self, node: &str) -> bool {
        self.state.lock().unwrap().frozen.contains_key(node)
    }

    /// A request of a node passes here on its way out and back: while the node
    /// stands still, nothing does.
    pub(crate) async fn pass(&self, node: &str, request: &str, answered: bool) {
        {
            let mut inner = self.state.lock().unwrap();
            let here = |at: &StepAt| {
                at.node == node && at.answered == answered && request.starts_with(at.request)
            };
            if inner.down_at.as_ref().is_some_and(here) {
                inner.down_at = None;
                inner.store_down = true;
            }
            if inner.freeze_at.as_ref().is_some_and(here) {
                inner.freeze_at = None;
                inner.frozen.entry(node.to_string()).or_default();
                if answered {
                    return;
                }
            }
        }
        loop {
            let thawed = self.resumed.notified();
            if !self.is_paused(node) {
                return;
            }
            thawed.await;
        }
    }

    /// Takes a node off the network of the workers, as when it crashes.
    pub fn forget_node(&self, name: &str) {
        for slot in self.controllers.lock().unwrap().iter_mut() {
            if slot.as_ref().is_some_and(|n| n.settings.node_name == name) {
                *slot = None;
            }
        }
    }

    /// Lets a report come again some time later, as chance has it.
    pub(crate) fn schedule_duplicate(&self, now: f64, body: &[u8]) {
        let mut inner = self.state.lock().unwrap();
        if inner.capture_heartbeats {
            inner.captured_heartbeats.push(body.to_vec());
        }
        let (part, most) = inner.duplicated_heartbeats;
        if part > 0.0 && inner.random.random::<f64>() < part {
            let at = now + inner.random.random::<f64>() * most;
            inner.delayed_heartbeats.push((at, body.to_vec()));
        }
    }

    /// Brings copies that are due to every node that is up: nobody waits for the
    /// answers.
    pub(crate) fn deliver_delayed_heartbeats(&self, now: f64) {
        let due: Vec<Vec<u8>> = {
            let mut inner = self.state.lock().unwrap();
            let due = inner.delayed_heartbeats.extract_if(.., |c| c.0 <= now);
            due.map(|c| c.1).collect()
        };
        self.bring_to_all(&due);
    }

    /// Brings the copies of reports that were kept to every node that is up.
    /// Returns how many there were.
    pub fn replay_captured_heartbeats(&self) -> usize {
        let kept = std::mem::take(&mut self.state.lock().unwrap().captured_heartbeats);
        self.bring_to_all(&kept);
        kept.len()
    }

    fn bring_to_all(&self, reports: &[Vec<u8>]) {
        if reports.is_empty() {
            return;
        }
        let nodes: Vec<Arc<Controller>> = self
            .controllers
            .lock()
            .unwrap()
            .iter()
            .flatten()
            .cloned()
            .collect();
        for node in nodes
            .iter()
            .filter(|n| !self.is_paused(&n.settings.node_name))
        {
            for body in reports {
                let _ = self.report_to(node, "copy", body);
            }
        }
    }

    /// Chance follows from a seed.
    pub fn seed(&self, seed: u64) {
        self.state.lock().unwrap().random = rand::rngs::StdRng::seed_from_u64(seed);
    }

    /// A machine's reports go on to arrive; answers and commands don't reach it.
    pub fn set_inbound_blocked(&self, worker: &str, deaf: bool) {
        let mut inner = self.state.lock().unwrap();
        if let Some(w) = inner.workers.get_mut(worker) {
            w.deaf = deaf;
        }
    }

    /// A machine's reports don't arrive; direct commands reach it.
    pub fn set_outbound_blocked(&self, worker: &str, mute: bool) {
        let mut inner = self.state.lock().unwrap();
        if let Some(w) = inner.workers.get_mut(worker) {
            w.mute = mute;
        }
    }

    /// A machine is gone with all that is on it; the list shows it no more.
    pub fn destroy(&self, worker: &str) {
        let mut inner = self.state.lock().unwrap();
        inner.workers.remove(worker);
        inner.machines.remove(worker);
    }

    /// A machine is back within a fraction of a second, all that ran there gone:
    /// its worker counts from the beginning.
    pub fn restart_agent(&self, worker: &str) {
        let now = self.now();
        let mut inner = self.state.lock().unwrap();
        if let Some(w) = inner.workers.get_mut(worker) {
            w.tasks.clear();
            (w.incarnation, w.sequence, w.fencing_token, w.answered) = (1, 0, 0, now);
        }
    }

    /// Starts a task on two machines, as no controller may.
    pub fn start_twice(&self, task: &str) {
        let now = self.now();
        let mut inner = self.state.lock().unwrap();
        for (attempt, name) in (1..).zip(inner.names().into_iter().take(2)) {
            let task = task.to_string();
            inner.execute(now, &name, &[Command::Start { task, attempt }]);
        }
    }

    /// A user is told now that a job is cancelled.
    pub fn told_cancelled(&self, id: &str) {
        let now = self.now();
        let mut inner = self.state.lock().unwrap();
        inner.cancelled.entry(id.to_string()).or_insert(now);
    }

    pub fn set_silent(&self, worker: &str, silent: bool) {
        let mut inner = self.state.lock().unwrap();
        // It may be gone.
        if let Some(w) = inner.workers.get_mut(worker) {
            w.silent = silent;
        }
    }

    /// A machine hangs: it does nothing, and what is sent to it waits; or it goes
    /// on.
    pub fn set_hung(&self, worker: &str, hangs: bool) {
        let now = self.now();
        let mut inner = self.state.lock().unwrap();
        inner.advance(now);
        if let Some(w) = inner.workers.get_mut(worker) {
            w.hung = hangs.then_some(now);
        }
    }

    /// The state service refuses a node alone, or serves it again.
    pub fn set_store_refuses(&self, node: &str, refuses: bool) {
        let mut inner = self.state.lock().unwrap();
        if refuses {
            inner.refused.insert(node.to_string());
        } else {
            inner.refused.remove(node);
        }
    }
}
