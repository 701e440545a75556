//! Random fault injection for scenarios.

use super::{CONTROLLER_COUNT, Scenario};
use crate::{
    CANCEL_TIMEOUT_S, FaultPoint, HEARTBEAT_INTERVAL_S, JobRequest, JobShape, LEASE_S, RandomDelay,
};
use rand::RngExt;
use std::time::Duration;

/// Kinds of faults. After each submission one is drawn and injected; some kinds end earlier
/// faults instead.
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
    PartitionMachine,
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
    HoldStartsOfCancelledJob,
    SubmitFailingJob,
    StartCloudOutage,
    EndCloudOutage,
}

/// All kinds of faults; the index is drawn.
const FAULT_KINDS: [FaultKind; 33] = [
    FaultKind::RestartController,
    FaultKind::RestartAllControllers,
    FaultKind::PartitionFromStore,
    FaultKind::HealStorePartitions,
    FaultKind::StoreOutage,
    FaultKind::BlockInbound,
    FaultKind::UnblockInbound,
    FaultKind::RestartAgent,
    FaultKind::PartitionMachine,
    FaultKind::LoseNextResponse,
    FaultKind::DuplicateHeartbeats,
    FaultKind::CancelJob,
    FaultKind::RefuseController,
    FaultKind::ServeAllControllers,
    FaultKind::StartLateWrites,
    FaultKind::EndLateWrites,
    FaultKind::DelayCommands,
    FaultKind::HangMachine,
    FaultKind::CancelBeforeStoreOutage,
    FaultKind::PauseController,
    FaultKind::FaultAtRequest,
    FaultKind::CancelManyJobs,
    FaultKind::StartLosingResponses,
    FaultKind::EndLosingResponses,
    FaultKind::BlockOutbound,
    FaultKind::UnblockOutbound,
    FaultKind::ReplayHeartbeats,
    FaultKind::DestroyMachine,
    FaultKind::InvalidRequests,
    FaultKind::HoldStartsOfCancelledJob,
    FaultKind::SubmitFailingJob,
    FaultKind::StartCloudOutage,
    FaultKind::EndCloudOutage,
];

/// Prefixes of controllers' requests (method and path) before or after which faults are
/// injected.
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

/// Probability that a transaction is executed late while that fault is active.
const LATE_WRITE_PROBABILITY: f64 = 0.3;

/// Probability that the response to a transaction is lost while that fault is active.
const LOSS_PROBABILITY: f64 = 0.4;

/// Probability and delay of duplicated heartbeats while that fault is active.
const DUPLICATED_HEARTBEATS: RandomDelay = RandomDelay {
    probability: 0.3,
    max_delay_s: LEASE_S * 2.0,
};

/// Probability and delay of delayed direct commands while that fault is active.
const DELAYED_COMMANDS: RandomDelay = RandomDelay {
    probability: 0.5,
    max_delay_s: 8.0,
};

impl Scenario {
    /// Draws a fault with the controller and the machine that it affects, and injects it.
    /// `latest` is the most recently submitted job. `CancelJob` and
    /// `CancelManyJobs` have no effect unless `may_cancel`.
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
        if let FaultKind::InvalidRequests = kind {
            self.send_invalid_requests(controller, latest).await;
        }
        self.submit_troubled_job(kind, controller).await;
    }

    /// Draws a booted machine; `None` if there is none.
    fn draw_machine(&mut self) -> Option<String> {
        let machines = self.simulation.booted_machines();
        if machines.is_empty() {
            return None;
        }
        let index = self.random.random_range(0..machines.len());
        Some(machines[index].clone())
    }

    /// Draws a controller. Half of the draws pick the leader, if there is one.
    fn draw_controller(&mut self) -> usize {
        let controller = self.random.random_range(0..CONTROLLER_COUNT);
        if self.random.random()
            && let Some(leader) = self.leader()
        {
            return leader;
        }
        controller
    }

    /// Starts or ends faults that affect messages or the store's service; no effect for
    /// other kinds.
    fn inject_message_fault(&self, kind: FaultKind) {
        let faults = &mut self.simulation.state.lock().unwrap().faults;
        match kind {
            FaultKind::LoseNextResponse => faults.lose_next_responses = 1,
            FaultKind::StartLosingResponses => faults.lost_response_probability = LOSS_PROBABILITY,
            FaultKind::EndLosingResponses => faults.lost_response_probability = 0.0,
            FaultKind::StartLateWrites => faults.late_write_probability = LATE_WRITE_PROBABILITY,
            FaultKind::EndLateWrites => faults.late_write_probability = 0.0,
            FaultKind::DuplicateHeartbeats => faults.duplicated_heartbeats = DUPLICATED_HEARTBEATS,
            FaultKind::DelayCommands => faults.delayed_commands = DELAYED_COMMANDS,
            FaultKind::HealStorePartitions => faults.store_partitioned.clear(),
            FaultKind::ServeAllControllers => faults.store_refused.clear(),
            FaultKind::StartCloudOutage => faults.cloud_down = true,
            FaultKind::EndCloudOutage => faults.cloud_down = false,
            _ => {}
        }
    }

    /// Injects faults between controllers and the store; no effect for other kinds.
    async fn inject_store_fault(&mut self, kind: FaultKind, controller: usize) {
        let name = Self::controller_name(controller);
        match kind {
            FaultKind::PartitionFromStore => self.simulation.set_store_partitioned(&name, true),
            FaultKind::RefuseController => self.simulation.set_store_refuses(&name, true),
            FaultKind::StoreOutage => {
                self.simulation.set_store_down(true);
                self.sleep_between(1.0, 8.0).await;
                self.simulation.set_store_down(false);
            }
            FaultKind::CancelBeforeStoreOutage => {
                let leader = self.leader().unwrap_or(controller);
                self.cancel_before_store_outage(leader).await;
            }
            _ => {}
        }
    }

    /// Injects faults of controller processes; no effect for other kinds.
    async fn inject_controller_fault(&mut self, kind: FaultKind, controller: usize) {
        match kind {
            FaultKind::RestartController => {
                self.crash(controller);
                let downtime_ms = self.random.random_range(10..900);
                tokio::time::sleep(Duration::from_millis(downtime_ms)).await;
                self.restart(controller);
            }
            FaultKind::RestartAllControllers => {
                (0..CONTROLLER_COUNT).for_each(|n| self.crash(n));
                self.sleep_between(0.01, 9.0).await;
                (0..CONTROLLER_COUNT).for_each(|n| self.restart(n));
            }
            FaultKind::PauseController => {
                self.simulation.pause(&Self::controller_name(controller));
                self.sleep_between(1.0, 20.0).await;
                self.simulation.resume(&Self::controller_name(controller));
            }
            FaultKind::FaultAtRequest => self.inject_fault_at_request(controller).await,
            FaultKind::ReplayHeartbeats => self.replay_heartbeats_at_failover(controller).await,
            _ => {}
        }
    }

    /// Injects or ends faults of a machine; no effect for other kinds.
    async fn inject_machine_fault(&mut self, kind: FaultKind, machine: &str) {
        match kind {
            FaultKind::BlockInbound => self.simulation.set_inbound_blocked(machine, true),
            FaultKind::UnblockInbound => self.simulation.set_inbound_blocked(machine, false),
            FaultKind::BlockOutbound => self.simulation.set_outbound_blocked(machine, true),
            FaultKind::UnblockOutbound => self.simulation.set_outbound_blocked(machine, false),
            FaultKind::RestartAgent => self.simulation.restart_agent(machine),
            FaultKind::PartitionMachine => self.simulation.set_worker_partitioned(machine, true),
            FaultKind::DestroyMachine => self.simulation.destroy(machine),
            FaultKind::HangMachine => {
                self.simulation.set_hung(machine, true);
                self.sleep_between(0.5, LEASE_S * 1.5).await;
                self.simulation.set_hung(machine, false);
            }
            _ => {}
        }
    }

    /// Cancels the latest job, or about a third of all jobs; no effect for other kinds.
    async fn cancel_jobs(&mut self, kind: FaultKind, controller: usize, latest: &JobRequest) {
        match kind {
            FaultKind::CancelJob => self.cancel(controller, &latest.id).await,
            FaultKind::CancelManyJobs => {
                for id in self.job_ids() {
                    if self.random.random_range(0..3) == 0 {
                        self.cancel(controller, &id).await;
                    }
                }
            }
            _ => {}
        }
    }

    /// Submits a job that fails everywhere, or one that is cancelled while its starts are held;
    /// no effect for other kinds.
    async fn submit_troubled_job(&mut self, kind: FaultKind, controller: usize) {
        match kind {
            FaultKind::SubmitFailingJob => self.submit_failing_job().await,
            FaultKind::HoldStartsOfCancelledJob => {
                self.hold_starts_of_cancelled_job(controller).await;
            }
            _ => {}
        }
    }

    /// Submits a job whose tasks fail on every machine. Its user cancels it after the faults
    /// have ended.
    async fn submit_failing_job(&mut self) {
        let shape = JobShape {
            tasks: self.random.random_range(1..4),
            run_s: self.random.random_range(0.5..4.0),
            fails: true,
            ..JobShape::default()
        };
        let number = self.next_extra_job_number();
        let job = self.submit(number, shape).await;
        self.failing_jobs.push(job.id);
    }

    /// Holds the direct commands to half of the machines, submits a job and cancels it before
    /// the next heartbeats can start its tasks. The other faults go on during the hold.
    async fn hold_starts_of_cancelled_job(&mut self, controller: usize) {
        let hold_s = CANCEL_TIMEOUT_S * self.random.random_range(0.3..2.5);
        for machine in self.simulation.booted_machines() {
            if self.random.random() {
                self.simulation.hold_commands(&machine, hold_s);
            }
        }
        let shape = JobShape {
            tasks: self.random.random_range(1..9),
            run_s: self.random.random_range(1.0..CANCEL_TIMEOUT_S),
            ..JobShape::default()
        };
        let number = self.next_extra_job_number();
        let job = self.submit(number, shape).await;
        self.sleep_between(0.02, HEARTBEAT_INTERVAL_S).await;
        self.cancel(controller, &job.id).await;
    }

    /// Draws a new boot time for machines, and sends invalid submissions.
    async fn send_invalid_requests(&mut self, controller: usize, latest: &JobRequest) {
        let boot_time_s = [0.1, 2.0][self.random.random_range(0..2)];
        self.simulation.state.lock().unwrap().boot_time_s = boot_time_s;
        self.submit_invalid_jobs(controller, &latest.body).await;
    }

    /// Cancels about half of the jobs through another controller while the store refuses
    /// only the leader. Then the store refuses all controllers for 0.5 to 1.5 times
    /// [`CANCEL_TIMEOUT_S`]. Whether it still refuses the leader afterwards is drawn.
    async fn cancel_before_store_outage(&mut self, leader: usize) {
        let leader_name = Self::controller_name(leader);
        self.simulation.set_store_refuses(&leader_name, true);
        self.sleep_between(0.1, 4.0).await;
        for id in self.job_ids() {
            if self.random.random::<bool>() {
                let follower = (leader + 1) % CONTROLLER_COUNT;
                self.cancel(follower, &id).await;
            }
        }
        self.simulation.set_store_down(true);
        let refuses = self.random.random();
        self.simulation.set_store_refuses(&leader_name, refuses);
        let outage_s = CANCEL_TIMEOUT_S * self.random.random_range(0.5..1.5);
        crate::sleep_s(outage_s).await;
        self.simulation.set_store_down(false);
    }

    /// Injects a fault just before or after the controller's next request of a random kind:
    /// either the controller is paused, or the store starts to refuse all controllers. In
    /// half of the cases the leader is restarted right after the fault is set.
    async fn inject_fault_at_request(&mut self, controller: usize) {
        let point = FaultPoint {
            controller: Self::controller_name(controller),
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
            self.simulation.resume(&Self::controller_name(controller));
        }
    }

    /// Captures heartbeats for some time, crashes the leader, and replays the heartbeats to
    /// the other controllers before it restarts.
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
