//! Simulated machines: the attempts that their agents run, and the heartbeats that they
//! send.

use super::{HEARTBEAT_INTERVAL_S, LEASE_S, SubmittedJob, settings::machine_type};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use tallygauge_protocol::workers::{Command, EndCause, Heartbeat, TaskState, TaskStatus};

/// Run time that the last checkpoint of a task saved, in seconds, by task name.
pub(super) type Checkpoints = HashMap<String, f64>;

/// An attempt on a machine, from its start until a `Clear` command removes it or the agent
/// restarts.
struct RunningTask {
    status: TaskStatus,
    job: String,
    /// Time at which its present state ends.
    state_ends_at: f64,
    /// Time at which it started to fetch its image, then time at which it started to run.
    started_at: f64,
    /// Run time that an earlier attempt saved.
    checkpointed_s: f64,
    /// Run time of the whole task.
    run_s: f64,
}

/// Period in which a machine can't be reached.
#[derive(Clone, Copy)]
pub(super) struct Partition {
    pub(super) starts_at: f64,
    pub(super) ends_at: f64,
}

pub(super) struct Machine {
    pub(super) name: String,
    zone: &'static str,
    sequence: u64,
    incarnation: u64,
    tasks: Vec<RunningTask>,
    images: BTreeSet<String>,
    next_heartbeat_at: f64,
    last_response_at: f64,
    partition: Option<Partition>,
}

/// Numbers of attempts that a list of commands started and stopped.
#[derive(Default)]
pub(super) struct Executed {
    pub(super) started: usize,
    pub(super) stopped: usize,
}

impl Machine {
    pub(super) fn new(number: usize, zone: &'static str, partition: Option<Partition>) -> Self {
        Self {
            name: format!("host-{number:06}"),
            zone,
            sequence: 0,
            incarnation: 1,
            tasks: Vec::new(),
            images: BTreeSet::new(),
            next_heartbeat_at: number as f64 % 10.0 * 0.5,
            last_response_at: 0.0,
            partition,
        }
    }

    pub(super) fn is_reachable(&self, now: f64) -> bool {
        !self
            .partition
            .is_some_and(|partition| now >= partition.starts_at && now < partition.ends_at)
    }

    pub(super) fn is_heartbeat_due(&self, now: f64) -> bool {
        self.next_heartbeat_at <= now
    }

    /// The heartbeat that is due, or `None` if the machine can't be reached. An agent that
    /// got no response for the duration of its lease has ended its tasks and restarts with
    /// a new incarnation.
    pub(super) fn periodic_heartbeat(&mut self, now: f64) -> Option<Heartbeat> {
        self.next_heartbeat_at = now + HEARTBEAT_INTERVAL_S;
        if now - self.last_response_at > LEASE_S && self.last_response_at > 0.0 {
            self.incarnation += 1;
            self.tasks.clear();
            self.last_response_at = now;
        }
        if !self.is_reachable(now) {
            return None;
        }
        self.last_response_at = now;
        Some(self.heartbeat())
    }

    pub(super) fn heartbeat(&mut self) -> Heartbeat {
        self.sequence += 1;
        Heartbeat {
            machine: self.name.clone(),
            endpoint: "10.1.0.2:9000".into(),
            machine_type: "node".into(),
            zone: self.zone.into(),
            spot: false,
            incarnation: self.incarnation,
            sequence: self.sequence,
            token: 1,
            spot_reclaim_in_s: None,
            tasks: self.tasks.iter().map(|t| t.status.clone()).collect(),
        }
    }

    /// Advances the attempts whose present state has ended. Returns whether any changed its
    /// state.
    pub(super) fn advance_tasks(&mut self, checkpoints: &mut Checkpoints, now: f64) -> bool {
        let mut changed = false;
        for task in &mut self.tasks {
            if task.state_ends_at <= now {
                changed |= task.advance(checkpoints, now);
            }
        }
        changed
    }

    pub(super) fn execute(
        &mut self,
        commands: Vec<Command>,
        jobs: &BTreeMap<String, SubmittedJob>,
        checkpoints: &Checkpoints,
        now: f64,
    ) -> Executed {
        let mut executed = Executed::default();
        for command in commands {
            match command {
                Command::Start { task, attempt } => {
                    if !self.tasks.iter().any(|t| t.status.attempt == attempt) {
                        self.start(task, attempt, jobs, checkpoints, now);
                        executed.started += 1;
                    }
                }
                Command::Stop {
                    attempt, grace_s, ..
                } => {
                    let unended = self.tasks.iter_mut().filter(|t| {
                        t.status.attempt == attempt && t.status.state != TaskState::Ended
                    });
                    for task in unended {
                        task.stop(jobs, grace_s, now);
                        executed.stopped += 1;
                    }
                }
                Command::Clear { attempt, .. } => {
                    self.tasks.retain(|t| t.status.attempt != attempt);
                }
            }
        }
        executed
    }

    fn start(
        &mut self,
        task: String,
        attempt: u64,
        jobs: &BTreeMap<String, SubmittedJob>,
        checkpoints: &Checkpoints,
        now: f64,
    ) {
        let (job_id, _) = task
            .rsplit_once('/')
            .expect("task name of the form JOB/INDEX");
        let submitted = &jobs[job_id];
        let fetch_s = if self.images.insert(submitted.spec.image.clone()) {
            submitted.spec.image_gb / machine_type().fetch_gb_per_s
        } else {
            0.0
        };
        self.tasks.push(RunningTask {
            job: job_id.to_string(),
            state_ends_at: now + fetch_s,
            started_at: now,
            checkpointed_s: checkpoints.get(&task).copied().unwrap_or(0.0),
            run_s: submitted.run_s,
            status: TaskStatus {
                task,
                attempt,
                state: TaskState::Fetching,
                cause: None,
                checkpointed: None,
            },
        });
    }
}

impl RunningTask {
    /// Goes on to the next state. Returns `false` if the present state is final.
    fn advance(&mut self, checkpoints: &mut Checkpoints, now: f64) -> bool {
        match self.status.state {
            TaskState::Fetching => {
                self.status.state = TaskState::Running;
                self.started_at = now;
                self.state_ends_at = now + (self.run_s - self.checkpointed_s).max(0.0);
            }
            TaskState::Running => {
                self.end(EndCause::Done);
                self.status.checkpointed = None;
            }
            TaskState::Saving => {
                let ran_s = (self.state_ends_at - self.started_at).max(0.0);
                checkpoints.insert(self.status.task.clone(), self.checkpointed_s + ran_s);
                self.end(EndCause::Halted);
                self.status.checkpointed = Some(true);
            }
            _ => return false,
        }
        true
    }

    /// Stops the attempt. A running one whose job saves checkpoints saves one first, unless
    /// `grace_s` is 0; an attempt that is saving ends at once only if `grace_s` is 0.
    fn stop(&mut self, jobs: &BTreeMap<String, SubmittedJob>, grace_s: f64, now: f64) {
        let spec = &jobs[&self.job].spec;
        let saves_checkpoints = spec.checkpoint_every_s > 0.0;
        if self.status.state == TaskState::Running && saves_checkpoints && grace_s > 0.0 {
            self.status.state = TaskState::Saving;
            self.state_ends_at = now + spec.checkpoint_s;
        } else if self.status.state != TaskState::Saving || grace_s == 0.0 {
            self.end(EndCause::Halted);
        }
    }

    fn end(&mut self, cause: EndCause) {
        self.status.state = TaskState::Ended;
        self.status.cause = Some(cause);
        self.state_ends_at = f64::MAX;
    }
}
