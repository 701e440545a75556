//! Reports: what a worker says of its tasks, and what follows from it.

use crate::{cluster_state::Cluster, commands::DirectMessage, model::*};
use std::collections::HashMap;
use tallygauge_health::{Mark, Place, Sign};
use tallygauge_protocol::{
    users::Shape,
    workers::{ANSWER_WAIT_S, EndCause, Report, TaskReport, TaskState},
};

/// What a report means for this node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Taken up; it may be answered.
    Taken,
    /// Older than what is known, but its worker may wait for the answer.
    Overtaken,
    /// Older than what is known: a late copy, or of a worker that has begun
    /// again. Nobody waits for an answer that should be kept.
    Stale,
    /// From a session that is over: answering would serve nobody.
    Dead,
    /// A higher token is about: this node leads no more.
    Deposed(u64),
}

/// How a report came.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// As a check-in. The worker sends one only when it has taken or given up
    /// the answer to the one before.
    CheckIn,
    /// With the answer to a direct message. An answer to a check-in, with
    /// starts in it, may still be on its way to the worker.
    Direct,
}

impl Cluster {
    /// Takes up a worker's report.
    pub fn on_report(&mut self, now: f64, report: &Report, source: Source) -> Verdict {
        if report.token > self.cfg.term {
            return Verdict::Deposed(report.token);
        }
        if !self.workers.contains_key(&report.machine) {
            // A late copy must not make a room that nobody has.
            if self.departed.is_gone(&report.machine) {
                return Verdict::Dead;
            }
            self.know(
                &report.machine,
                &report.machine_type,
                &report.zone,
                report.spot,
                &report.endpoint,
                now,
            );
        }
        let term = self.cfg.term;
        let Some(worker) = self.workers.get_mut(&report.machine) else {
            return Verdict::Stale;
        };
        if report.session <= worker.dead_session {
            return Verdict::Dead;
        }
        let mark = mark_of(report);
        match worker.order.place(mark, now, ANSWER_WAIT_S) {
            Place::New => {}
            Place::Overtaken => return Verdict::Overtaken,
            Place::Old => {
                // A worker that has begun again counts from the beginning: whoever
                // lives is asked.
                if source == Source::CheckIn && mark != worker.order.newest {
                    worker.order.wonder();
                    self.attention.insert(report.machine.clone());
                }
                return Verdict::Stale;
            }
        }
        // Tokens never fall as long as a worker lives.
        if report.token < worker.token && source == Source::CheckIn {
            self.begun_again(&report.machine, None, now);
            return Verdict::Dead;
        }
        worker.token = worker.token.max(report.token);
        // What was held back on the way comes all at once, and shows nothing of
        // how its worker heard us.
        if now - worker.heard_at > self.cfg.quiet_s() {
            worker.steady_since = now;
        }
        self.weigh(now, report, source);
        let Some(worker) = self.workers.get_mut(&report.machine) else {
            return Verdict::Stale;
        };
        if worker.endpoint != report.endpoint {
            worker.endpoint.clone_from(&report.endpoint);
        }
        worker.heard_at = now;
        if worker.hearing.in_question() {
            self.attention.insert(report.machine.clone());
        } else {
            worker.direct_failures = 0;
        }
        // It lives after all.
        if matches!(
            worker.leaving,
            Some((LeaveReason::NoBoot | LeaveReason::Silent, _))
        ) && !worker.return_sent
        {
            worker.leaving = None;
        }
        let same_session = report.session == worker.session;
        if report.session > worker.session {
            self.changed = true;
            worker.session_at = now;
        }
        worker.session = report.session;
        worker.order.take(mark, source == Source::Direct, now);
        if report.token == term && worker.fenced_at.is_none() {
            self.changed = true;
            worker.fenced_at = Some(now);
        }
        if report.notice_s.is_some() && worker.notice_until.is_none() {
            self.changed = true;
            self.events
                .push((true, format!("{} will be taken back", report.machine)));
        }
        match (report.notice_s, worker.notice_until) {
            (Some(s), None) => worker.notice_until = Some(now + s),
            (Some(s), Some(t)) => worker.notice_until = Some(t.min(now + s)),
            (None, _) => worker.notice_until = None,
        }
        // Most reports say nothing new, and cost next to nothing.
        if same_session
            && worker.fenced_at.is_some()
            && worker.notice_until.is_none()
            && worker.leaving.is_none()
            && says_nothing_new(worker, &report.tasks)
        {
            return Verdict::Taken;
        }
        // Without our token it may be of another life: one that ended before this
        // term, its sessions beyond those of the one that runs our tasks.
        if report.session > 1 && report.token == term {
            self.end_session(&report.machine, report.session - 1, now);
        }
        self.take_tasks(now, report, source);
        if let Some(worker) = self.workers.get(&report.machine) {
            if worker.fenced_at.is_none() {
                self.attention.insert(report.machine.clone());
            }
            if worker.notice_until.is_some() || worker.leaving.is_some() {
                self.drain(&report.machine, now);
            }
        }
        Verdict::Taken
    }

    /// Takes up the answer to a direct message: only who lives gives one, with a
    /// number above all that it had sent before it was asked.
    pub fn on_direct(&mut self, now: f64, message: &DirectMessage, report: &Report) -> Verdict {
        if report.token > self.cfg.term {
            return Verdict::Deposed(report.token);
        }
        let mark = mark_of(report);
        if mark.begun_again_since(message.before) {
            self.begun_again(&report.machine, Some(report), now);
            return Verdict::Dead;
        }
        if let Some(worker) = self.workers.get_mut(&report.machine) {
            Self::hears(worker);
        }
        self.on_report(now, report, Source::Direct)
    }

    /// What is sent to a machine reaches it.
    fn hears(worker: &mut Worker) {
        worker.hearing.heard();
        if matches!(worker.leaving, Some((LeaveReason::Deaf, _))) && !worker.return_sent {
            worker.leaving = None;
        }
    }

    /// Weighs what a new report says of its worker's hearing: whether it shows
    /// what the answer before it carried. A worker sends a check-in when it has
    /// taken or given up the answer to the one before.
    fn weigh(&mut self, now: f64, report: &Report, source: Source) {
        let (cfg, limits) = (&self.cfg, self.cfg.hearing());
        if source != Source::CheckIn {
            return;
        }
        let Some(worker) = self.workers.get_mut(&report.machine) else {
            return;
        };
        let renewed = worker.answered_at;
        let mut sign = None;
        if report.session > worker.session {
            // Answered all the time, its session lasts for a lease from the last
            // answer; a few of them may have been lost.
            let sure = renewed + cfg.lease_s - cfg.report_s * 2.5 - cfg.margin_s();
            let steady = now - worker.steady_since > cfg.report_s * 3.0;
            sign = (now < sure && steady).then_some(Sign::SessionOver);
        } else if worker.owes {
            let shown = |h: &Held| {
                let there = |t: &&TaskReport| t.attempt == h.attempt && h.is_called(&t.task);
                report.tasks.iter().any(|t| there(&t))
            };
            let unheeded = |h: &Held| match h.phase {
                Phase::Recorded => !shown(h),
                Phase::Ended(_) => shown(h),
                Phase::Planned | Phase::On(_) => false,
            };
            let mut carried = worker.held.iter().filter(|h| h.carried);
            if report.token < cfg.term || carried.any(unheeded) {
                sign = Some(Sign::Unheeded);
            } else {
                Self::hears(worker);
            }
        } else if let Some(deaf_s) = worker.hearing.deaf_for(now)
            && deaf_s.min(now - worker.session_at) > cfg.stretched(cfg.lease_s)
        {
            // The session has lasted for longer than a lease since: an answer
            // was taken.
            Self::hears(worker);
        }
        worker.owes = false;
        worker.held.iter_mut().for_each(|h| h.carried = false);
        if let Some(sign) = sign
            && worker.hearing.sign(sign, now, &limits)
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
    fn begun_again(&mut self, name: &str, word: Option<&Report>, now: f64) {
        let term = self.cfg.term;
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        let session = worker.session;
        worker.dead_session = worker.dead_session.max(session);
        worker.session_at = now;
        worker.order.asked();
        worker.images = Images::default();
        Self::hears(worker);
        worker.token = word.map_or(0, |w| w.token);
        worker.direct_failures = 0;
        worker.strays.clear();
        self.changed = true;
        let text = format!("{name} has begun again: what ran there is lost");
        self.events.push((true, text));
        let Some(word) = word.filter(|w| w.token == term) else {
            return;
        };
        let there = |h: &Held| word.tasks.iter().any(|t| t.attempt == h.attempt);
        let gone = self.take_off(name, |h| {
            h.phase != Phase::Planned && !h.may_yet_start() && !there(h)
        });
        for held in gone.iter().filter(|h| h.occupies()) {
            self.lose(name, held, now);
        }
    }

    fn take_tasks(&mut self, now: f64, report: &Report, source: Source) {
        let name = report.machine.as_str();
        let fenced = report.token == self.cfg.term;
        let mut seen: HashMap<u64, &TaskReport> = HashMap::new();
        for task in &report.tasks {
            seen.insert(task.attempt, task);
        }
        // Absent attempts. Before the fence a report proves nothing: an older
        // start may still be under way.
        let absent = self.take_off(name, |h| {
            let there = seen.get(&h.attempt).is_some_and(|t| h.is_called(&t.task));
            !there
                && fenced
                // A later session than a worker with our token has reached is one
                // of another life of it: it has begun again since.
                && (h.session == report.session || h.inherited)
                && !h.may_yet_start()
                && match h.phase {
                    Phase::Planned => false,
                    // A start of this term is sent again until it is seen,
                    // unless it is not wanted any more.
                    Phase::Recorded => {
                        h.inherited || (h.stop.is_some() && source == Source::CheckIn)
                    }
                    Phase::On(_) | Phase::Ended(_) => true,
                }
        });
        for held in absent.iter().filter(|h| h.occupies()) {
            self.lose(name, held, now);
        }
        let mut strays = Vec::new();
        for task in &report.tasks {
            self.take_task(now, name, report.session, task, &mut strays);
        }
        if let Some(worker) = self.workers.get_mut(name) {
            worker.strays = strays;
        }
    }

    fn take_task(
        &mut self,
        now: f64,
        name: &str,
        session: u64,
        task: &TaskReport,
        strays: &mut Vec<(String, u64, bool)>,
    ) {
        let ended = task.state == TaskState::Ended;
        let Some((id, index)) = split_task(&task.task) else {
            strays.push((task.task.clone(), task.attempt, ended));
            return;
        };
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        let known = worker
            .held
            .iter()
            .position(|h| h.attempt == task.attempt && h.spec.id == id && h.index == index);
        let at = match known {
            Some(at) => at,
            None => {
                // Not placed by anyone on record. Of an open job it is taken
                // in, so that it is counted; else it is stopped and cleared.
                let Some(job) = self.jobs.get(id).filter(|j| index < j.spec.tasks) else {
                    strays.push((task.task.clone(), task.attempt, ended));
                    return;
                };
                let mut held = Held::new(job.spec.clone(), index, task.attempt, session, now);
                held.phase = Phase::Recorded;
                (held.inherited, held.sent) = (true, true);
                self.occupy(name, held);
                // On record nowhere, the next leader would not know of it.
                if !ended {
                    self.planned.push((name.to_string(), task.attempt));
                }
                match self.workers.get(name) {
                    Some(w) => w.held.len() - 1,
                    None => return,
                }
            }
        };
        let of_type = self.types.get(self.workers[name].machine_type.as_str());
        let cache = of_type.map_or(0.0, |t| t.cache_gb);
        let rate = of_type.map_or(f64::MAX, |t| t.fetch_gb_per_s.max(1e-3));
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        let held = &mut worker.held[at];
        held.session = session;
        held.sent = true;
        if matches!(held.phase, Phase::Ended(_)) {
            return;
        }
        if !ended {
            held.phase = Phase::On(task.state);
            // What was believed to lie there does not.
            if task.state == TaskState::Fetching {
                let (image, gb) = (&held.spec.image, held.spec.image_gb);
                worker.images.lacks(image, now + gb / rate);
            }
            if matches!(task.state, TaskState::Running | TaskState::Saving)
                && held.running_since.is_none()
            {
                // After a take-over the start is known from the placement.
                held.running_since = Some(if held.inherited { held.placed_at } else { now });
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
                worker.images.touch(&spec.image, spec.image_gb, cache);
            }
            let done = self
                .jobs
                .get(id)
                .is_some_and(|j| j.finished.contains(index));
            let held = &mut worker.held[at];
            if done && held.stop.is_none() {
                held.stop = Some(Stop {
                    reason: StopReason::Duplicate,
                    at: now,
                });
            }
            return;
        }
        let cause = task.cause.unwrap_or(EndCause::Unknown);
        held.phase = Phase::Ended(cause);
        let held = held.clone();
        if cause != EndCause::Done {
            self.events.push((
                cause == EndCause::Error,
                format!(
                    "{} ended on {name}: {cause:?}, kept {:?}",
                    task.task, task.kept
                ),
            ));
        }
        self.vacate(name, &held, now);
        self.on_end(now, name, at, &held, cause, task.kept.unwrap_or(false));
    }

    fn on_end(
        &mut self,
        now: f64,
        name: &str,
        at: usize,
        held: &Held,
        cause: EndCause,
        kept: bool,
    ) {
        let open = self.jobs.contains_key(&held.spec.id);
        if cause == EndCause::Done && open && held.spec.shape == Shape::Array {
            self.learn(held, name, now);
            if let Some(worker) = self.workers.get_mut(name) {
                worker.error_jobs.clear();
            }
            let chunk = held.index / self.chunk;
            if let Some(job) = self.jobs.get_mut(&held.spec.id) {
                job.errors = 0;
                job.waiting.remove(held.index);
                job.fresh.remove(held.index);
                job.resumes.remove(&held.index);
                if job.finished.insert(held.index) {
                    job.dirty.insert(chunk);
                }
                // Finished under an earlier leader, its end is durable.
                if job.dirty.contains(&chunk) {
                    job.unsaved.push((held.index, name.to_string()));
                    self.dirty_jobs.insert(held.spec.id.clone());
                } else if let Some(worker) = self.workers.get_mut(name) {
                    worker.held[at].end_durable = true;
                }
            }
            // Other attempts of it are rare.
            let elsewhere: Vec<String> = match self.jobs.get(&held.spec.id) {
                Some(job) if job.holds.contains_key(&held.index) => {
                    job.on.keys().cloned().collect()
                }
                _ => Vec::new(),
            };
            for other in elsewhere {
                let Some(worker) = self.workers.get_mut(&other) else {
                    continue;
                };
                self.attention.insert(other);
                for other in &mut worker.held {
                    if other.occupies()
                        && other.index == held.index
                        && other.spec.id == held.spec.id
                        && other.stop.is_none()
                    {
                        other.stop = Some(Stop {
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
            worker.held[at].end_durable = true;
        }
        match cause {
            EndCause::Halted | EndCause::Done => {
                let saved = if kept {
                    held.saved_s + held.ran_s(now)
                } else {
                    self.saved_after_loss(held, now)
                };
                self.requeue(held, saved, name, 0.0);
            }
            EndCause::Error | EndCause::NoSuch | EndCause::Unknown => {
                let errors = match self.jobs.get_mut(&held.spec.id) {
                    Some(job) => {
                        job.errors = (job.errors + 1).min(64);
                        job.errors
                    }
                    None => 1,
                };
                // The first failures are likely the machine's fault and cost
                // little; a job that fails everywhere must not keep machines
                // busy.
                let doublings = (errors / 4).min(4);
                let wait = self.cfg.report_s * f64::from(1u32 << doublings);
                let saved = self.saved_after_loss(held, now);
                self.requeue(held, saved, name, now + wait);
                if cause == EndCause::Error
                    && let Some(worker) = self.workers.get_mut(name)
                {
                    worker.error_jobs.insert(held.spec.id.clone());
                    if worker.error_jobs.len() >= 2 && worker.leaving.is_none() {
                        worker.leaving = Some((LeaveReason::Faulty, now));
                    }
                }
            }
            EndCause::NoRoom | EndCause::Busy => {
                self.requeue(held, held.saved_s, name, now + self.cfg.report_s * 0.5);
            }
        }
    }

    fn learn(&mut self, held: &Held, name: &str, now: f64) {
        let whole = held.saved_s + held.ran_s(now);
        if held.spec.expected_s <= 0.0 || held.inherited || held.running_since.is_none() {
            return;
        }
        let ratio = (whole / held.spec.expected_s).clamp(0.1, 10.0);
        let pace = self.paces.entry(held.spec.class.clone()).or_default();
        // Old days fade: the last fifty or so tasks count.
        pace.ratio_sum = pace.ratio_sum * 0.98 + ratio;
        pace.count = pace.count * 0.98 + 1.0;
        // A machine is judged against others by tasks of the same job: owners'
        // estimates are wrong for whole jobs, and machines are not to blame.
        let Some(job) = self.jobs.get_mut(&held.spec.id) else {
            return;
        };
        let here = job.measured.entry(name.to_string()).or_default();
        here.0 += whole;
        here.1 += 1;
        let (sum, count) = job
            .measured
            .iter()
            .filter(|(other, _)| *other != name)
            .fold((0.0, 0), |a, (_, m)| (a.0 + m.0, a.1 + m.1));
        if count >= 2
            && sum > 0.0
            && let Some(worker) = self.workers.get_mut(name)
        {
            worker.pace.0 += whole / (sum / f64::from(count));
            worker.pace.1 += 1;
        }
    }

    /// Measured over expected run time of a class, leaning on 1 while little
    /// is known.
    #[must_use]
    pub fn class_ratio(&self, class: &str) -> f64 {
        let pace = self.paces.get(class).copied().unwrap_or_default();
        ((pace.ratio_sum + 5.0) / (pace.count + 5.0)).clamp(0.4, 2.5)
    }
}

/// Whether a report shows a worker's attempts just as they are known, all of
/// them and no others, with nothing left to be seen of them.
fn says_nothing_new(worker: &Worker, tasks: &[TaskReport]) -> bool {
    worker.strays.is_empty()
        && worker.held.len() == tasks.len()
        && tasks.iter().all(|t| {
            let known = worker.held.iter().find(|h| h.attempt == t.attempt);
            known.is_some_and(|h| {
                h.phase == Phase::On(t.state)
                    && h.stop.is_none()
                    && (t.state == TaskState::Fetching || h.running_since.is_some())
                    && h.is_called(&t.task)
            })
        })
}

/// A report's place among its worker's messages.
fn mark_of(report: &Report) -> Mark {
    Mark {
        session: report.session,
        seq: report.seq,
    }
}

/// Job id and task number.
fn split_task(name: &str) -> Option<(&str, u32)> {
    let (id, index) = name.rsplit_once('/')?;
    Some((id, index.parse().ok()?))
}
