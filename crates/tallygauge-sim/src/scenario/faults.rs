//! Random faults of a scenario.

use super::{CONTROLLERS, Scenario};
use crate::{CANCEL_TIMEOUT_S, FaultPoint, JobRequest, LEASE_S, RandomDelay};
use rand::RngExt;
use std::time::Duration;

/// Kinds of faults; one is drawn after each submission.
#[derive(Debug, Clone, Copy)]
enum FaultKind {
    RestartController,
    RestartAllControllers,
    PartitionFromStore,
    HealStorePartitions,
    StoreOutage,
    BlockInbound,
    UnblockInbound,
    RestartAgent,
    SilenceMachine,
    LoseNextResponse,
    DuplicateHeartbeats,
    CancelJob,
    RefuseController,
    ServeAllControllers,
    StartLateWrites,
    EndLateWrites,
    DelayCommands,
    HangMachine,
    CancelBeforeStoreOutage,
    PauseController,
    FaultAtRequest,
    CancelManyJobs,
    StartLosingResponses,
    EndLosingResponses,
    BlockOutbound,
    UnblockOutbound,
    ReplayHeartbeats,
    DestroyMachine,
    InvalidRequests,
}

use FaultKind as K;

/// All kinds, by the number that is drawn.
const FAULT_KINDS: [FaultKind; 29] = [
    K::RestartController,
    K::RestartAllControllers,
    K::PartitionFromStore,
    K::HealStorePartitions,
    K::StoreOutage,
    K::BlockInbound,
    K::UnblockInbound,
    K::RestartAgent,
    K::SilenceMachine,
    K::LoseNextResponse,
    K::DuplicateHeartbeats,
    K::CancelJob,
    K::RefuseController,
    K::ServeAllControllers,
    K::StartLateWrites,
    K::EndLateWrites,
    K::DelayCommands,
    K::HangMachine,
    K::CancelBeforeStoreOutage,
    K::PauseController,
    K::FaultAtRequest,
    K::CancelManyJobs,
    K::StartLosingResponses,
    K::EndLosingResponses,
    K::BlockOutbound,
    K::UnblockOutbound,
    K::ReplayHeartbeats,
    K::DestroyMachine,
    K::InvalidRequests,
];

/// Requests of controllers at which faults are injected.
const FAULT_REQUESTS: [&str; 10] = [
    "POST /multi",
    "POST /orders",
    "POST /leases",
    "POST /machines",
    "GET /machines",
    "GET /changes?starts=o/",
    "GET /changes?starts=t/",
    "GET /store?starts=o/",
    "GET /store?starts=p/",
    "GET /store?starts=t/",
];

/// Probability of a late write while there are any.
const LATE_WRITE_PROBABILITY: f64 = 0.3;

/// Probability of a lost response while there are any.
const LOST_RESPONSE_PROBABILITY: f64 = 0.4;

/// Heartbeats that are duplicated while there are any.
const DUPLICATED_HEARTBEATS: RandomDelay = RandomDelay {
    probability: 0.3,
    max_delay_s: LEASE_S * 2.0,
};

/// Direct commands that are delayed while there are any.
const DELAYED_COMMANDS: RandomDelay = RandomDelay {
    probability: 0.5,
    max_delay_s: 8.0,
};

impl Scenario {
    /// Draws a fault and what it strikes, and injects it; `latest` is the job submitted last.
    /// Faults that cancel jobs do nothing unless `may_cancel`.
    pub(super) async fn inject_random_fault(&mut self, latest: &JobRequest, may_cancel: bool) {
        let machine = self.draw_machine();
        let controller = self.draw_controller();
        let number = self.random.random_range(0..FAULT_KINDS.len() as u32);
        let kind = FAULT_KINDS[number as usize];
        tracing::info!(?kind, controller, machine, "injecting fault");
        self.inject_message_fault(kind);
        self.inject_store_fault(kind, controller).await;
        self.inject_controller_fault(kind, controller).await;
        if let Some(machine) = machine {
            self.inject_machine_fault(kind, &machine).await;
        }
        if may_cancel {
            self.cancel_jobs(kind, controller, latest).await;
        }
        if let K::InvalidRequests = kind {
            self.send_invalid_requests(controller, latest).await;
        }
    }

    /// Draws a booted machine, if there is one.
    fn draw_machine(&mut self) -> Option<String> {
        let machines = self.simulation.booted_machines();
        if machines.is_empty() {
            return None;
        }
        let index = self.random.random_range(0..machines.len());
        Some(machines[index].clone())
    }

    /// Draws a controller; half of the draws choose the leader, if there is one.
    fn draw_controller(&mut self) -> usize {
        let controller = self.random.random_range(0..CONTROLLERS);
        if self.random.random()
            && let Some(leader) = self.leader()
        {
            return leader;
        }
        controller
    }

    /// Sets or ends faults of messages; does nothing for other kinds.
    fn inject_message_fault(&self, kind: FaultKind) {
        let faults = &mut self.simulation.state.lock().unwrap().faults;
        match kind {
            K::LoseNextResponse => faults.lose_next_responses = 1,
            K::StartLosingResponses => faults.lost_response_probability = LOST_RESPONSE_PROBABILITY,
            K::EndLosingResponses => faults.lost_response_probability = 0.0,
            K::StartLateWrites => faults.late_write_probability = LATE_WRITE_PROBABILITY,
            K::EndLateWrites => faults.late_write_probability = 0.0,
            K::DuplicateHeartbeats => faults.duplicated_heartbeats = DUPLICATED_HEARTBEATS,
            K::DelayCommands => faults.delayed_commands = DELAYED_COMMANDS,
            K::HealStorePartitions => faults.store_partitioned.clear(),
            K::ServeAllControllers => faults.store_refused.clear(),
            _ => {}
        }
    }

    /// Injects faults between controllers and store; does nothing for other kinds.
    async fn inject_store_fault(&mut self, kind: FaultKind, controller: usize) {
        let name = Self::name(controller);
        match kind {
            K::PartitionFromStore => self.simulation.set_store_partitioned(&name, true),
            K::RefuseController => self.simulation.set_store_refuses(&name, true),
            K::StoreOutage => {
                self.simulation.set_store_down(true);
                self.sleep_between(1.0, 8.0).await;
                self.simulation.set_store_down(false);
            }
            K::CancelBeforeStoreOutage => {
                let leader = self.leader().unwrap_or(controller);
                self.cancel_before_store_outage(leader).await;
            }
            _ => {}
        }
    }

    /// Injects faults of controllers' processes; does nothing for other kinds.
    async fn inject_controller_fault(&mut self, kind: FaultKind, controller: usize) {
        match kind {
            K::RestartController => {
                self.crash(controller);
                let downtime_ms = self.random.random_range(10..900);
                tokio::time::sleep(Duration::from_millis(downtime_ms)).await;
                self.restart(controller);
            }
            K::RestartAllControllers => {
                (0..CONTROLLERS).for_each(|n| self.crash(n));
                self.sleep_between(0.01, 9.0).await;
                (0..CONTROLLERS).for_each(|n| self.restart(n));
            }
            K::PauseController => {
                self.simulation.pause(&Self::name(controller));
                self.sleep_between(1.0, 20.0).await;
                self.simulation.resume(&Self::name(controller));
            }
            K::FaultAtRequest => self.inject_fault_at_request(controller).await,
            K::ReplayHeartbeats => self.replay_heartbeats_at_failover(controller).await,
            _ => {}
        }
    }

    /// Injects faults of a machine; does nothing for other kinds.
    async fn inject_machine_fault(&mut self, kind: FaultKind, machine: &str) {
        match kind {
            K::BlockInbound => self.simulation.set_inbound_blocked(machine, true),
            K::UnblockInbound => self.simulation.set_inbound_blocked(machine, false),
            K::BlockOutbound => self.simulation.set_outbound_blocked(machine, true),
            K::UnblockOutbound => self.simulation.set_outbound_blocked(machine, false),
            K::RestartAgent => self.simulation.restart_agent(machine),
            K::SilenceMachine => self.simulation.set_worker_partitioned(machine, true),
            K::DestroyMachine => self.simulation.destroy(machine),
            K::HangMachine => {
                self.simulation.set_hung(machine, true);
                self.sleep_between(0.5, LEASE_S * 1.5).await;
                self.simulation.set_hung(machine, false);
            }
            _ => {}
        }
    }

    /// Cancels the latest job or a third of all jobs; does nothing for other kinds.
    async fn cancel_jobs(&mut self, kind: FaultKind, controller: usize, latest: &JobRequest) {
        match kind {
            K::CancelJob => self.cancel(controller, &latest.id).await,
            K::CancelManyJobs => {
                for id in self.job_ids() {
                    if self.random.random_range(0..3) == 0 {
                        self.cancel(controller, &id).await;
                    }
                }
            }
            _ => {}
        }
    }

    /// Draws another boot time and sends invalid submissions.
    async fn send_invalid_requests(&mut self, controller: usize, latest: &JobRequest) {
        let boot_time_s = [0.1, 2.0][self.random.random_range(0..2)];
        self.simulation.state.lock().unwrap().boot_time_s = boot_time_s;
        self.submit_invalid_jobs(controller, &latest.body).await;
    }

    /// The store refuses the leader alone; jobs are cancelled through another controller;
    /// then the store refuses everybody for about as long as a cancellation may take.
    async fn cancel_before_store_outage(&mut self, leader: usize) {
        let leader_name = Self::name(leader);
        self.simulation.set_store_refuses(&leader_name, true);
        self.sleep_between(0.1, 4.0).await;
        for id in self.job_ids() {
            if self.random.random::<bool>() {
                let other = (leader + 1) % CONTROLLERS;
                self.cancel(other, &id).await;
            }
        }
        self.simulation.set_store_down(true);
        let refuses = self.random.random();
        self.simulation.set_store_refuses(&leader_name, refuses);
        let outage_s = CANCEL_TIMEOUT_S * self.random.random_range(0.5..1.5);
        crate::sleep_s(outage_s).await;
        self.simulation.set_store_down(false);
    }

    /// Just before or after a request of a controller, its process is paused or the store
    /// begins to refuse everybody; at times the leader restarts meanwhile.
    async fn inject_fault_at_request(&mut self, controller: usize) {
        let point = FaultPoint {
            controller: Self::name(controller),
            request: FAULT_REQUESTS[self.random.random_range(0..FAULT_REQUESTS.len())],
            after_response: self.random.random(),
        };
        let is_outage = self.random.random();
        {
            let faults = &mut self.simulation.state.lock().unwrap().faults;
            if is_outage {
                faults.store_down_at = Some(point);
            } else {
                faults.pause_at = Some(point);
            }
        }
        if self.random.random() {
            let leader = self.leader().unwrap_or(controller);
            self.crash(leader);
            self.restart(leader);
        }
        self.sleep_between(0.5, CANCEL_TIMEOUT_S * 1.5).await;
        {
            let faults = &mut self.simulation.state.lock().unwrap().faults;
            faults.store_down_at = None;
            faults.pause_at = None;
        }
        if is_outage {
            self.simulation.set_store_down(false);
        } else {
            self.simulation.resume(&Self::name(controller));
        }
    }

    /// Captures heartbeats for a while, crashes the leader and replays them before it
    /// restarts.
    async fn replay_heartbeats_at_failover(&mut self, controller: usize) {
        self.set_capture_heartbeats(true);
        self.sleep_between(1.0, 12.0).await;
        self.set_capture_heartbeats(false);
        let leader = self.leader().unwrap_or(controller);
        self.crash(leader);
        self.sleep_between(0.0, 3.0).await;
        self.simulation.replay_captured_heartbeats();
        self.restart(leader);
    }

    fn set_capture_heartbeats(&self, capture: bool) {
        let mut state = self.simulation.state.lock().unwrap();
        state.faults.capture_heartbeats = capture;
    }
}
