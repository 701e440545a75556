//! Reports: what a worker says of its tasks, and what follows from it.

use crate::{cluster_state::ClusterState, commands::DirectMessage, model::*};
use std::collections::HashMap;
use tallygauge_health::{Arrival, Evidence, SequenceMark};
use tallygauge_protocol::{
    users::Shape,
    workers::{EndCause, Heartbeat, RESPONSE_TIMEOUT_S, TaskState, TaskStatus},
};

/// What a report means for this node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatOutcome {
    /// Taken up; it may be answered.
    Applied,
    /// Older than what is known, but its worker may wait for the answer.
    Overtaken,
    /// Older than what is known: a late copy, or of a worker that has begun
    /// again. Nobody waits for an answer that should be kept.
    Stale,
    /// From a session that is over: answering would serve nobody.
    DeadIncarnation,
    /// A higher token is about: this node leads no more.
    Deposed(u64),
}

/// How a report came.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeartbeatSource {
    /// As a check-in. The worker sends one only when it has taken or given up
    /// the answer to the one before.
    Periodic,
    /// With the answer to a direct message. An answer to a check-in, with
    /// starts in it, may still be on its way to the worker.
    DirectReply,
}

impl ClusterState {
    /// Takes up a worker's report.
    pub fn apply_heartbeat(
        &mut self,
        now: f64,
        report: &Heartbeat,
        source: HeartbeatSource,
    ) -> HeartbeatOutcome {
        if report.token > self.config.term {
            return HeartbeatOutcome::Deposed(report.token);
        }
        if !self.workers.contains_key(&report.machine) {
            // A late copy must not make a room that nobody has.
            if self.tombstones.contains(&report.machine) {
                return HeartbeatOutcome::DeadIncarnation;
            }
            self.register_machine(
                &report.machine,
                &report.machine_type,
                &report.zone,
                report.spot,
                &report.endpoint,
                now,
            );
        }
        let term = self.config.term;
        let Some(worker) = self.workers.get_mut(&report.machine) else {
            return HeartbeatOutcome::Stale;
        };
        if report.incarnation <= worker.last_dead_incarnation {
            return HeartbeatOutcome::DeadIncarnation;
        }
        let mark = sequence_mark(report);
        match worker.message_order.classify(mark, now, RESPONSE_TIMEOUT_S) {
            Arrival::New => {}
            Arrival::Overtaken => return HeartbeatOutcome::Overtaken,
            Arrival::Old => {
                // A worker that has begun again counts from the beginning: whoever
                // lives is asked.
                if source == HeartbeatSource::Periodic && mark != worker.message_order.newest {
                    worker.message_order.request_liveness_probe();
                    self.needs_direct_message.insert(report.machine.clone());
                }
                return HeartbeatOutcome::Stale;
            }
        }
        // Tokens never fall as long as a worker lives.
        if report.token < worker.fencing_token && source == HeartbeatSource::Periodic {
            self.handle_agent_restart(&report.machine, None, now);
            return HeartbeatOutcome::DeadIncarnation;
        }
        worker.fencing_token = worker.fencing_token.max(report.token);
        // What was held back on the way comes all at once, and shows nothing of
        // how its worker heard us.
        if now - worker.last_heartbeat_at > self.config.heartbeat_timeout_s() {
            worker.heartbeats_steady_since = now;
        }
        self.assess_reachability(now, report, source);
        let Some(worker) = self.workers.get_mut(&report.machine) else {
            return HeartbeatOutcome::Stale;
        };
        if worker.endpoint != report.endpoint {
            worker.endpoint.clone_from(&report.endpoint);
        }
        worker.last_heartbeat_at = now;
        if worker.reachability.needs_probe() {
            self.needs_direct_message.insert(report.machine.clone());
        } else {
            worker.direct_failures = 0;
        }
        // It lives after all.
        worker.revoke_leave(&[LeaveReason::BootTimeout, LeaveReason::Silent]);
        let same_session = report.incarnation == worker.incarnation;
        if report.incarnation > worker.incarnation {
            self.needs_scheduling = true;
            worker.incarnation_seen_at = now;
        }
        worker.incarnation = report.incarnation;
        worker
            .message_order
            .advance(mark, source == HeartbeatSource::DirectReply, now);
        if report.token == term && worker.fencing_token_seen_at.is_none() {
            self.needs_scheduling = true;
            worker.fencing_token_seen_at = Some(now);
        }
        if report.spot_notice_s.is_some() && worker.spot_notice_until.is_none() {
            self.needs_scheduling = true;
            self.events
                .push((true, format!("{} will be taken back", report.machine)));
        }
        match (report.spot_notice_s, worker.spot_notice_until) {
            (Some(s), None) => worker.spot_notice_until = Some(now + s),
            (Some(s), Some(t)) => worker.spot_notice_until = Some(t.min(now + s)),
            (None, _) => worker.spot_notice_until = None,
        }
        // Most reports say nothing new, and cost next to nothing.
        if same_session
            && worker.fencing_token_seen_at.is_some()
            && worker.spot_notice_until.is_none()
            && worker.leaving.is_none()
            && is_unchanged(worker, &report.tasks)
        {
            return HeartbeatOutcome::Applied;
        }
        // Without our token it may be of another life: one that ended before this
        // term, its sessions beyond those of the one that runs our tasks.
        if report.incarnation > 1 && report.token == term {
            self.end_incarnation(&report.machine, report.incarnation - 1, now);
        }
        self.apply_task_statuses(now, report, source);
        if let Some(worker) = self.workers.get(&report.machine) {
            if worker.fencing_token_seen_at.is_none() {
                self.needs_direct_message.insert(report.machine.clone());
            }
            if worker.spot_notice_until.is_some() || worker.leaving.is_some() {
                self.stop_unwanted_attempts(&report.machine, now);
            }
        }
        HeartbeatOutcome::Applied
    }

    /// Takes up the answer to a direct message: only who lives gives one, with a
    /// number above all that it had sent before it was asked.
    pub fn apply_direct_reply(
        &mut self,
        now: f64,
        message: &DirectMessage,
        report: &Heartbeat,
    ) -> HeartbeatOutcome {
        if report.token > self.config.term {
            return HeartbeatOutcome::Deposed(report.token);
        }
        let mark = sequence_mark(report);
        if mark.is_restart_since(message.sent_after) {
            self.handle_agent_restart(&report.machine, Some(report), now);
            return HeartbeatOutcome::DeadIncarnation;
        }
        if let Some(worker) = self.workers.get_mut(&report.machine) {
            Self::confirm_reachable(worker);
        }
        self.apply_heartbeat(now, report, HeartbeatSource::DirectReply)
    }

    /// What is sent to a machine reaches it.
    fn confirm_reachable(worker: &mut Worker) {
        worker.reachability.confirm();
        worker.revoke_leave(&[LeaveReason::Unreachable]);
    }

    /// Weighs what a new report says of its worker's hearing: whether it shows
    /// what the answer before it carried. A worker sends a check-in when it has
    /// taken or given up the answer to the one before.
    fn assess_reachability(&mut self, now: f64, report: &Heartbeat, source: HeartbeatSource) {
        let (cfg, limits) = (&self.config, self.config.reachability_thresholds());
        if source != HeartbeatSource::Periodic {
            return;
        }
        let Some(worker) = self.workers.get_mut(&report.machine) else {
            return;
        };
        let renewed = worker.lease_renewed_at;
        let mut sign = None;
        if report.incarnation > worker.incarnation {
            // Answered all the time, its session lasts for a lease from the last
            // answer; a few of them may have been lost.
            let sure =
                renewed + cfg.lease_s - cfg.heartbeat_interval_s * 2.5 - cfg.timing_margin_s();
            let steady = now - worker.heartbeats_steady_since > cfg.heartbeat_interval_s * 3.0;
            sign = (now < sure && steady).then_some(Evidence::LeaseExpired);
        } else if worker.acknowledgement_due {
            let shown = |h: &Attempt| {
                let there = |t: &&TaskStatus| t.attempt == h.number && h.has_task_name(&t.task);
                report.tasks.iter().any(|t| there(&t))
            };
            let unheeded = |h: &Attempt| match h.phase {
                AttemptPhase::Recorded => !shown(h),
                AttemptPhase::Ended(_) => shown(h),
                AttemptPhase::Planned | AttemptPhase::Observed(_) => false,
            };
            let mut carried = worker
                .attempts
                .iter()
                .filter(|h| h.awaiting_acknowledgement);
            if report.token < cfg.term || carried.any(unheeded) {
                sign = Some(Evidence::NotAcknowledged);
            } else {
                Self::confirm_reachable(worker);
            }
        } else if let Some(deaf_s) = worker.reachability.unreachable_for(now)
            && deaf_s.min(now - worker.incarnation_seen_at) > cfg.with_clock_drift(cfg.lease_s)
        {
            // The session has lasted for longer than a lease since: an answer
            // was taken.
            Self::confirm_reachable(worker);
        }
        worker.acknowledgement_due = false;
        worker
            .attempts
            .iter_mut()
            .for_each(|h| h.awaiting_acknowledgement = false);
        if let Some(sign) = sign
            && worker.reachability.record(sign, now, &limits)
        {
            let text = format!("{} reports but hears nothing: {sign:?}", worker.name);
            self.events.push((true, text));
        }
    }

    /// A machine's worker has begun again, its tasks gone: its numbers are
    /// another life's, so that nothing more of this session is taken up. It
    /// goes on with the next one after a lease, since it isn't answered until
    /// then. What its own word (with our token) lacks is free at once, but for
    /// starts that may yet arrive: those are held until the session is over.
    fn handle_agent_restart(&mut self, name: &str, word: Option<&Heartbeat>, now: f64) {
        let term = self.config.term;
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        let session = worker.incarnation;
        worker.last_dead_incarnation = worker.last_dead_incarnation.max(session);
        worker.incarnation_seen_at = now;
        worker.message_order.liveness_probe_sent();
        worker.images = ImageCache::default();
        Self::confirm_reachable(worker);
        worker.fencing_token = word.map_or(0, |w| w.token);
        worker.direct_failures = 0;
        worker.orphaned_attempts.clear();
        self.needs_scheduling = true;
        let text = format!("{name} has begun again: what ran there is lost");
        self.events.push((true, text));
        let Some(word) = word.filter(|w| w.token == term) else {
            return;
        };
        let there = |h: &Attempt| word.tasks.iter().any(|t| t.attempt == h.number);
        let gone = self.remove_attempts(name, |h| {
            h.phase != AttemptPhase::Planned && !h.may_yet_start() && !there(h)
        });
        for held in gone.iter().filter(|h| h.occupies_capacity()) {
            self.requeue_lost(name, held, now);
        }
    }

    fn apply_task_statuses(&mut self, now: f64, report: &Heartbeat, source: HeartbeatSource) {
        let name = report.machine.as_str();
        let fenced = report.token == self.config.term;
        let mut seen: HashMap<u64, &TaskStatus> = HashMap::new();
        for task in &report.tasks {
            seen.insert(task.attempt, task);
        }
        // Absent attempts. Before the fence a report proves nothing: an older
        // start may still be under way.
        let absent = self.remove_attempts(name, |h| {
            let there = seen
                .get(&h.number)
                .is_some_and(|t| h.has_task_name(&t.task));
            !there
                && fenced
                // A later session than a worker with our token has reached is one
                // of another life of it: it has begun again since.
                && (h.incarnation == report.incarnation || h.restored)
                && !h.may_yet_start()
                && match h.phase {
                    AttemptPhase::Planned => false,
                    // A start of this term is sent again until it is seen,
                    // unless it is not wanted any more.
                    AttemptPhase::Recorded => {
                        h.restored || (h.stop.is_some() && source == HeartbeatSource::Periodic)
                    }
                    AttemptPhase::Observed(_) | AttemptPhase::Ended(_) => true,
                }
        });
        for held in absent.iter().filter(|h| h.occupies_capacity()) {
            self.requeue_lost(name, held, now);
        }
        let mut strays = Vec::new();
        for task in &report.tasks {
            self.apply_task_status(now, name, report.incarnation, task, &mut strays);
        }
        if let Some(worker) = self.workers.get_mut(name) {
            worker.orphaned_attempts = strays;
        }
    }

    fn apply_task_status(
        &mut self,
        now: f64,
        name: &str,
        session: u64,
        task: &TaskStatus,
        strays: &mut Vec<OrphanedAttempt>,
    ) {
        let ended = task.state == TaskState::Ended;
        let Some((id, index)) = parse_task_name(&task.task) else {
            strays.push(OrphanedAttempt {
                task: task.task.clone(),
                attempt: task.attempt,
                ended,
            });
            return;
        };
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        let known = worker
            .attempts
            .iter()
            .position(|h| h.number == task.attempt && h.spec.id == id && h.index == index);
        let at = match known {
            Some(at) => at,
            None => {
                // Not placed by anyone on record. Of an open job it is taken
                // in, so that it is counted; else it is stopped and cleared.
                let Some(job) = self.jobs.get(id).filter(|j| index < j.spec.tasks) else {
                    strays.push(OrphanedAttempt {
                        task: task.task.clone(),
                        attempt: task.attempt,
                        ended,
                    });
                    return;
                };
                let mut held = Attempt::new(job.spec.clone(), index, task.attempt, session, now);
                held.phase = AttemptPhase::Recorded;
                (held.restored, held.start_sent) = (true, true);
                self.add_attempt(name, held);
                // On record nowhere, the next leader would not know of it.
                if !ended {
                    self.unbatched_attempts.push(UnbatchedAttempt {
                        worker: name.to_string(),
                        attempt: task.attempt,
                    });
                }
                match self.workers.get(name) {
                    Some(w) => w.attempts.len() - 1,
                    None => return,
                }
            }
        };
        let of_type = self
            .machine_types
            .get(self.workers[name].machine_type.as_str());
        let cache = of_type.map_or(0.0, |t| t.cache_gb);
        let rate = of_type.map_or(f64::MAX, |t| t.fetch_gb_per_s.max(1e-3));
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        let held = &mut worker.attempts[at];
        held.incarnation = session;
        held.start_sent = true;
        if matches!(held.phase, AttemptPhase::Ended(_)) {
            return;
        }
        if !ended {
            held.phase = AttemptPhase::Observed(task.state);
            // What was believed to lie there does not.
            if task.state == TaskState::Fetching {
                let (image, gb) = (&held.spec.image, held.spec.image_gb);
                worker.images.note_missing(image, now + gb / rate);
            }
            if matches!(task.state, TaskState::Running | TaskState::Saving)
                && held.running_since.is_none()
            {
                // After a take-over the start is known from the placement.
                held.running_since = Some(if held.restored { held.placed_at } else { now });
                let spec = held.spec.clone();
                if let Some(job) = self.jobs.get_mut(id)
                    && !std::mem::replace(&mut job.started, true)
                {
                    let after = now - job.accepted_at;
                    let (class, tasks) = (&job.spec.class, job.spec.tasks);
                    let text = format!("{id} begins after {after:.1} s: {class}, {tasks} tasks");
                    self.events.push((false, text));
                }
                worker.images.fetching.remove(&spec.image);
                worker.images.mark_used(&spec.image, spec.image_gb, cache);
            }
            let done = self
                .jobs
                .get(id)
                .is_some_and(|j| j.completed.contains(index));
            let held = &mut worker.attempts[at];
            if done && held.stop.is_none() {
                held.stop = Some(StopDecision {
                    reason: StopReason::Duplicate,
                    at: now,
                });
            }
            return;
        }
        let cause = task.cause.unwrap_or(EndCause::Unknown);
        held.phase = AttemptPhase::Ended(cause);
        let held = held.clone();
        if cause != EndCause::Done {
            self.events.push((
                cause == EndCause::Error,
                format!(
                    "{} ended on {name}: {cause:?}, kept {:?}",
                    task.task, task.checkpointed
                ),
            ));
        }
        self.release_attempt(name, &held, now);
        self.handle_task_end(
            now,
            name,
            at,
            &held,
            cause,
            task.checkpointed.unwrap_or(false),
        );
    }

    fn handle_task_end(
        &mut self,
        now: f64,
        name: &str,
        at: usize,
        held: &Attempt,
        cause: EndCause,
        kept: bool,
    ) {
        let open = self.jobs.contains_key(&held.spec.id);
        if cause == EndCause::Done && open && held.spec.shape == Shape::Array {
            self.record_run_time(held, name, now);
            if let Some(worker) = self.workers.get_mut(name) {
                worker.failed_jobs.clear();
            }
            let chunk = held.index / self.tasks_per_chunk;
            if let Some(job) = self.jobs.get_mut(&held.spec.id) {
                job.consecutive_failures = 0;
                job.pending.remove(held.index);
                job.unstarted.remove(held.index);
                job.resumable.remove(&held.index);
                if job.completed.insert(held.index) {
                    job.unsaved_chunks.insert(chunk);
                }
                // Finished under an earlier leader, its end is durable.
                if job.unsaved_chunks.contains(&chunk) {
                    job.unsaved_completions.push(UnsavedCompletion {
                        index: held.index,
                        worker: name.to_string(),
                    });
                    self.jobs_with_unsaved_progress.insert(held.spec.id.clone());
                } else if let Some(worker) = self.workers.get_mut(name) {
                    worker.attempts[at].end_durable = true;
                }
            }
            // Other attempts of it are rare.
            let elsewhere: Vec<String> = match self.jobs.get(&held.spec.id) {
                Some(job) if job.attempts_by_task.contains_key(&held.index) => {
                    job.attempts_by_worker.keys().cloned().collect()
                }
                _ => Vec::new(),
            };
            for other in elsewhere {
                let Some(worker) = self.workers.get_mut(&other) else {
                    continue;
                };
                self.needs_direct_message.insert(other);
                for other in &mut worker.attempts {
                    if other.occupies_capacity()
                        && other.index == held.index
                        && other.spec.id == held.spec.id
                        && other.stop.is_none()
                    {
                        other.stop = Some(StopDecision {
                            reason: StopReason::Duplicate,
                            at: now,
                        });
                    }
                }
            }
            return;
        }
        // Any other end needs nothing durable: the task simply waits again.
        if let Some(worker) = self.workers.get_mut(name) {
            worker.attempts[at].end_durable = true;
        }
        match cause {
            EndCause::Halted | EndCause::Done => {
                let saved = if kept {
                    held.checkpointed_s + held.run_time_s(now)
                } else {
                    self.checkpoint_after_loss(held, now)
                };
                self.requeue(held, saved, name, 0.0);
            }
            EndCause::Error | EndCause::NoSuch | EndCause::Unknown => {
                let errors = match self.jobs.get_mut(&held.spec.id) {
                    Some(job) => {
                        job.consecutive_failures = (job.consecutive_failures + 1).min(64);
                        job.consecutive_failures
                    }
                    None => 1,
                };
                // The first failures are likely the machine's fault and cost
                // little; a job that fails everywhere must not keep machines
                // busy.
                let doublings = (errors / 4).min(4);
                let wait = self.config.heartbeat_interval_s * f64::from(1u32 << doublings);
                let saved = self.checkpoint_after_loss(held, now);
                self.requeue(held, saved, name, now + wait);
                if cause == EndCause::Error
                    && let Some(worker) = self.workers.get_mut(name)
                {
                    worker.failed_jobs.insert(held.spec.id.clone());
                    if worker.failed_jobs.len() >= 2 {
                        worker.leave(LeaveReason::Faulty, now);
                    }
                }
            }
            EndCause::NoRoom | EndCause::Busy => {
                self.requeue(
                    held,
                    held.checkpointed_s,
                    name,
                    now + self.config.heartbeat_interval_s * 0.5,
                );
            }
        }
    }

    fn record_run_time(&mut self, held: &Attempt, name: &str, now: f64) {
        let whole = held.checkpointed_s + held.run_time_s(now);
        if held.spec.expected_s <= 0.0 || held.restored || held.running_since.is_none() {
            return;
        }
        let ratio = (whole / held.spec.expected_s).clamp(0.1, 10.0);
        let pace = self
            .runtime_ratios
            .entry(held.spec.class.clone())
            .or_default();
        // Old days fade: the last fifty or so tasks count.
        pace.ratio_sum = pace.ratio_sum * 0.98 + ratio;
        pace.count = pace.count * 0.98 + 1.0;
        // A machine is judged against others by tasks of the same job: owners'
        // estimates are wrong for whole jobs, and machines are not to blame.
        let Some(job) = self.jobs.get_mut(&held.spec.id) else {
            return;
        };
        let here = job
            .run_times_by_machine
            .entry(name.to_string())
            .or_default();
        here.add(whole);
        let mut others = SampleSum::default();
        for (_, samples) in job
            .run_times_by_machine
            .iter()
            .filter(|(other, _)| *other != name)
        {
            others.sum += samples.sum;
            others.count += samples.count;
        }
        if others.count >= 2
            && others.sum > 0.0
            && let Some(worker) = self.workers.get_mut(name)
        {
            worker.runtime_ratio.add(whole / others.mean());
        }
    }

    /// Measured over expected run time of a class, leaning on 1 while little
    /// is known.
    #[must_use]
    pub fn runtime_ratio(&self, class: &str) -> f64 {
        let pace = self.runtime_ratios.get(class).copied().unwrap_or_default();
        ((pace.ratio_sum + 5.0) / (pace.count + 5.0)).clamp(0.4, 2.5)
    }
}

/// Whether a report shows a worker's attempts just as they are known, all of
/// them and no others, with nothing left to be seen of them.
fn is_unchanged(worker: &Worker, tasks: &[TaskStatus]) -> bool {
    worker.orphaned_attempts.is_empty()
        && worker.attempts.len() == tasks.len()
        && tasks.iter().all(|t| {
            let known = worker.attempts.iter().find(|h| h.number == t.attempt);
            known.is_some_and(|h| {
                h.phase == AttemptPhase::Observed(t.state)
                    && h.stop.is_none()
                    && (t.state == TaskState::Fetching || h.running_since.is_some())
                    && h.has_task_name(&t.task)
            })
        })
}

/// A report's place among its worker's messages.
fn sequence_mark(report: &Heartbeat) -> SequenceMark {
    SequenceMark {
        incarnation: report.incarnation,
        sequence: report.sequence,
    }
}

/// Job id and task number.
fn parse_task_name(name: &str) -> Option<(&str, u32)> {
    let (id, index) = name.rsplit_once('/')?;
    Some((id, index.parse().ok()?))
}
