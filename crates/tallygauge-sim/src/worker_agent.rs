//! Simulated worker agents. They send heartbeats to a controller, switch to the next one if
//! the heartbeat is not accepted, and reject direct commands with an outdated fencing token.

use crate::{
    HEARTBEAT_INTERVAL_S, SimState, Simulation,
    machines::{SimTask, SimWorker},
    state::{DelayedCommands, DelayedMessage},
    transport::{Response, hang, ok, status},
};
use futures_util::FutureExt;
use rand::RngExt;
use serde_json::{Value, json};
use std::{collections::HashMap, sync::Arc, time::Duration};
use tallygauge::{controller::Controller, worker_api::HeartbeatReply};
use tallygauge_protocol::workers::{
    DirectCommands, HEARTBEAT_RESPONSE_TIMEOUT_S, HeartbeatResponse,
};
use tallygauge_store::http::HttpResult;

/// Interval between the steps in which all machines and workers advance.
const STEP_INTERVAL: Duration = Duration::from_millis(50);

/// Minimum time between two heartbeats of a worker that has news, in seconds.
const EARLY_HEARTBEAT_GAP_S: f64 = HEARTBEAT_INTERVAL_S * 0.5;

/// Minimum delay of direct commands that are delivered late, in seconds.
const MIN_COMMAND_DELAY_S: f64 = 0.5;

/// A heartbeat that is about to be sent.
struct OutgoingHeartbeat {
    worker: String,
    /// Number of the heartbeat, unique in the simulation.
    number: u64,
    /// Index of the receiving controller, modulo the number of controllers.
    controller_index: usize,
    body: Vec<u8>,
}

impl Simulation {
    /// Runs all machines and workers indefinitely: machines boot, tasks complete, heartbeats
    /// are sent, late writes executed and delayed messages delivered.
    pub async fn run_workers(self: Arc<Self>) {
        let mut last_heartbeat_at = HashMap::new();
        loop {
            tokio::time::sleep(STEP_INTERVAL).await;
            let now = self.now();
            let heartbeats = {
                let mut state = self.state.lock().unwrap();
                if !state.faults.store_down {
                    state.store.expire_leases(now);
                }
                state.advance(now);
                state.due_heartbeats(now, &mut last_heartbeat_at)
            };
            self.apply_late_writes(now);
            self.deliver_delayed_commands(now);
            self.deliver_due_copies(now);
            self.deliver_delayed_heartbeats(now);
            for heartbeat in heartbeats {
                self.schedule_duplicate(now, &heartbeat.body);
                self.start_exchange(now, heartbeat);
            }
        }
    }

    /// Starts a heartbeat's exchange, which goes on by itself if the response is held.
    fn start_exchange(self: &Arc<Self>, now: f64, heartbeat: OutgoingHeartbeat) {
        let simulation = self.clone();
        let exchange = async move { simulation.exchange_heartbeat(now, &heartbeat).await };
        poll_or_spawn(exchange);
    }

    /// Sends a heartbeat to the worker's controller. The worker applies the response if the
    /// heartbeat is accepted, and switches to the next controller otherwise.
    async fn exchange_heartbeat(self: &Arc<Self>, sent_at: f64, heartbeat: &OutgoingHeartbeat) {
        let worker = &heartbeat.worker;
        let reply = match self.reachable_controller(worker, heartbeat.controller_index) {
            Some(controller) => self.await_reply(&controller, worker, &heartbeat.body).await,
            None => None,
        };
        let mut state = self.state.lock().unwrap();
        let Some(waiting) = state.workers.get_mut(worker) else {
            return;
        };
        let number = Some(heartbeat.number);
        if waiting
            .heartbeat_in_flight
            .take_if(|n| Some(*n) == number)
            .is_none()
        {
            return;
        }
        if let Some(HeartbeatReply::Accepted(response)) = reply {
            state.apply_heartbeat_response(self.now(), sent_at, worker, &response);
        } else {
            waiting.controller_index += 1;
        }
    }

    /// The reply of a controller to a heartbeat; `None` if it ends or pauses before it has replied,
    /// or the worker stops waiting.
    async fn await_reply(
        self: &Arc<Self>,
        controller: &Arc<Controller>,
        worker: &str,
        body: &[u8],
    ) -> Option<HeartbeatReply> {
        let reply = self.send_heartbeat(controller, worker, body);
        let reply = self.run_on(&controller.settings.node_name, reply);
        let timeout = Duration::from_secs_f64(HEARTBEAT_RESPONSE_TIMEOUT_S);
        let reply = tokio::time::timeout(timeout, reply).await.ok()?;
        let controllers = self.controllers.lock().unwrap();
        let mut running = controllers.iter().flatten();
        running.any(|c| Arc::ptr_eq(c, controller)).then_some(reply)
    }

    /// The controller with this index (modulo their number), if it is connected, not paused
    /// and the worker can reach it.
    fn reachable_controller(&self, worker: &str, index: usize) -> Option<Arc<Controller>> {
        let controller = {
            let controllers = self.controllers.lock().unwrap();
            let slot = controllers.get(index % controllers.len().max(1));
            slot.cloned().flatten()?
        };
        let name = &controller.settings.node_name;
        let is_reachable =
            !self.is_paused(name) && self.state.lock().unwrap().has_link(worker, name);
        is_reachable.then_some(controller)
    }

    /// Delivers a controller's direct commands to a worker and returns its response. Commands
    /// that are delayed, or whose machine is hung, get no response and are delivered later.
    ///
    /// # Errors
    /// If an injected fault drops the request or its response.
    pub async fn deliver_direct_commands(
        &self,
        controller: &str,
        worker: &str,
        body: &[u8],
    ) -> HttpResult {
        let response = {
            let now = self.now();
            let mut state = self.state.lock().unwrap();
            let delays = state.faults.delayed_commands;
            let is_delayed = state.draw_occurrence(delays.probability);
            if !state.has_link(worker, controller) {
                None
            } else if let Some(held_until) = state.commands_held_until(now, worker) {
                state.delay_commands(worker, held_until, body.to_vec());
                None
            } else if is_delayed || state.is_hung(worker) {
                let delay_s = if is_delayed {
                    state
                        .random
                        .random_range(MIN_COMMAND_DELAY_S..delays.max_delay_s)
                } else {
                    0.0
                };
                state.delay_commands(worker, now + delay_s, body.to_vec());
                None
            } else {
                state.apply_direct_commands(now, worker, body)
            }
        };
        match response {
            Some(response) => Ok(response),
            None => hang().await,
        }
    }

    /// Delivers the delayed direct commands that are due, except those to hung machines.
    fn deliver_delayed_commands(&self, now: f64) {
        let mut state = self.state.lock().unwrap();
        let delayed = std::mem::take(&mut state.delayed_commands);
        for commands in delayed {
            if commands.message.due_at > now || state.is_hung(&commands.worker) {
                state.delayed_commands.push(commands);
            } else {
                state.apply_direct_commands(now, &commands.worker, &commands.message.body);
            }
        }
    }
}

/// Polls a future once, and spawns it if it is not ready: what needs no wait is done in order.
pub(crate) fn poll_or_spawn(future: impl Future<Output = ()> + Send + 'static) {
    let mut future = Box::pin(future);
    if future.as_mut().now_or_never().is_none() {
        tokio::spawn(future);
    }
}

impl SimState {
    /// Returns the heartbeats that are due, and sets in `last_heartbeat_at` when the last ones of
    /// their workers were sent.
    fn due_heartbeats(
        &mut self,
        now: f64,
        last_heartbeat_at: &mut HashMap<String, f64>,
    ) -> Vec<OutgoingHeartbeat> {
        let is_due = |name: &String, worker: &SimWorker| {
            let interval_s = if worker.has_news {
                EARLY_HEARTBEAT_GAP_S
            } else {
                HEARTBEAT_INTERVAL_S
            };
            let last_at = last_heartbeat_at.get(name);
            last_at.is_none_or(|at| *at + interval_s <= now)
        };
        let senders = self.workers.iter();
        let senders: Vec<String> = senders
            .filter(|(name, worker)| {
                worker.can_send() && worker.heartbeat_in_flight.is_none() && is_due(name, worker)
            })
            .map(|(name, _)| name.clone())
            .collect();
        let heartbeat_of = |worker: String| {
            last_heartbeat_at.insert(worker.clone(), now);
            let body = self.next_heartbeat(&worker).unwrap();
            self.last_heartbeat_number += 1;
            let number = self.last_heartbeat_number;
            let sender = self.workers.get_mut(&worker).unwrap();
            sender.heartbeat_in_flight = Some(number);
            OutgoingHeartbeat {
                controller_index: sender.controller_index,
                number,
                worker,
                body: body.to_string().into_bytes(),
            }
        };
        senders.into_iter().map(heartbeat_of).collect()
    }

    /// Returns the next heartbeat of a worker; `None` if it is partitioned or no longer
    /// exists.
    pub fn next_heartbeat(&mut self, name: &str) -> Option<Value> {
        let worker = self
            .workers
            .get_mut(name)
            .filter(|worker| !worker.partitioned)?;
        worker.sequence += 1;
        worker.has_news = false;
        Some(self.heartbeat(name))
    }

    /// Body of a worker's heartbeat with its current sequence number.
    fn heartbeat(&self, name: &str) -> Value {
        let worker = &self.workers[name];
        let tasks: Vec<Value> = worker.tasks.iter().map(task_status).collect();
        json!({"bench": name, "endpoint": self.endpoint(name), "build": self.machines[name].machine_type, "site": worker.zone, "borrowed": false,
            "shift": worker.incarnation, "tick": worker.sequence, "baton": worker.fencing_token, "recallS": null, "pieces": tasks})
    }

    /// Applies the response to a heartbeat that a worker sent at `sent_at`: renews its lease
    /// from that time on and executes the commands now. Responses that do not reach the worker,
    /// or that have an outdated fencing token, are ignored.
    pub fn apply_heartbeat_response(
        &mut self,
        now: f64,
        sent_at: f64,
        name: &str,
        response: &HeartbeatResponse,
    ) {
        let worker = self.workers.get_mut(name);
        let Some(worker) = worker.filter(|worker| !worker.inbound_blocked && !worker.partitioned)
        else {
            return;
        };
        if response.token < worker.fencing_token {
            return;
        }
        worker.accept_token(response.token);
        worker.lease_renewed_at = worker.lease_renewed_at.max(sent_at);
        self.execute_commands(now, name, &response.commands);
    }

    /// Applies direct commands to a worker and returns its response, which contains its
    /// status; `None` if the commands do not reach it. Commands with an outdated fencing token
    /// or for another incarnation are rejected.
    pub(crate) fn apply_direct_commands(
        &mut self,
        now: f64,
        name: &str,
        body: &[u8],
    ) -> Option<Response> {
        let request: DirectCommands = serde_json::from_slice(body).unwrap();
        self.advance(now);
        let worker = self.workers.get_mut(name)?;
        if worker.partitioned || worker.inbound_blocked {
            return None;
        }
        worker.sequence += 1;
        if request.token < worker.fencing_token || request.incarnation != worker.incarnation {
            self.rejected_commands += 1;
            return Some(status(409, self.heartbeat(name)));
        }
        worker.accept_token(request.token);
        self.execute_commands(now, name, &request.commands);
        Some(ok(self.heartbeat(name)))
    }

    /// Schedules direct commands for delivery at `due_at`.
    pub(crate) fn delay_commands(&mut self, worker: &str, due_at: f64, body: Vec<u8>) {
        self.delayed_commands.push(DelayedCommands {
            worker: worker.to_string(),
            message: DelayedMessage { due_at, body },
        });
    }

    /// Until when direct commands to a worker are held; `None` if they are delivered.
    fn commands_held_until(&self, now: f64, worker: &str) -> Option<f64> {
        let held_until = self.faults.commands_held_until.get(worker).copied();
        held_until.filter(|until| *until > now)
    }

    /// Whether a worker's machine is hung.
    pub(crate) fn is_hung(&self, worker: &str) -> bool {
        self.workers
            .get(worker)
            .is_some_and(|worker| worker.is_hung())
    }

    /// Whether [`exclusive_links`](crate::FaultSettings::exclusive_links) allow a connection
    /// between a worker and a controller.
    fn has_link(&self, worker: &str, controller: &str) -> bool {
        let exclusive = self.faults.exclusive_links.get(worker);
        exclusive.is_none_or(|exclusive| exclusive == controller)
    }
}

/// The entry of a task in a heartbeat.
fn task_status(task: &SimTask) -> Value {
    json!({"piece": task.name, "try": task.attempt, "status": task.state.status(), "cause": task.state.cause()})
}
