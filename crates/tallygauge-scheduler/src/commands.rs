//! Commands: what a worker should do now, in answers and direct messages.

use crate::{cluster_state::Cluster, model::*};
use tallygauge_health::{Mark, Sign};
use tallygauge_protocol::workers::{Command, TaskState};

/// A direct message to a worker.
#[derive(Debug, Clone)]
pub struct DirectMessage {
    /// Worker.
    pub worker: String,
    /// Its address.
    pub endpoint: String,
    /// Session it is meant for.
    pub session: u64,
    /// Commands; empty to fence only.
    pub commands: Vec<Command>,
    /// Attempts whose start is in it.
    pub starts: Vec<u64>,
    /// The worker's newest message when this was made up: whoever lives answers
    /// with a later one.
    pub before: Mark,
    /// Only asks whether the worker lives and hears.
    pub question: bool,
}

/// One in so many direct messages may be a question.
const QUESTIONS: usize = 4;

impl Cluster {
    /// Commands that a worker should execute now.
    #[must_use]
    pub fn commands(&self, name: &str, now: f64) -> Vec<Command> {
        let mut out = Vec::new();
        let Some(worker) = self.workers.get(name) else {
            return out;
        };
        for (task, attempt, ended) in &worker.strays {
            out.push(if *ended {
                Command::Clear {
                    task: task.clone(),
                    attempt: *attempt,
                }
            } else {
                Command::Stop {
                    task: task.clone(),
                    attempt: *attempt,
                    grace_s: 0.0,
                }
            });
        }
        for held in worker.held.iter().filter(|h| h.session == worker.session) {
            let attempt = held.attempt;
            match (held.phase, held.stop) {
                (Phase::Recorded, None) if !held.inherited => {
                    let task = held.task_name();
                    out.push(Command::Start { task, attempt });
                }
                (Phase::Recorded | Phase::On(_), Some(stop)) if held.sent => {
                    let grace_s = grace(held, stop, now);
                    if held.phase != Phase::On(TaskState::Saving) || grace_s == 0.0 {
                        out.push(Command::Stop {
                            task: held.task_name(),
                            attempt,
                            grace_s,
                        });
                    }
                }
                (Phase::Ended(_), _) if held.may_clear() => {
                    let task = held.task_name();
                    out.push(Command::Clear { task, attempt });
                }
                _ => {}
            }
        }
        // Room is made before it is used.
        out.sort_by_key(|c| match c {
            Command::Clear { .. } => 0,
            Command::Stop { .. } => 1,
            Command::Start { .. } => 2,
        });
        out
    }

    /// Notes that a check-in is answered with our token and these commands.
    pub fn answered(&mut self, name: &str, commands: &[Command], now: f64) {
        let term = self.cfg.term;
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        worker.answered_at = now;
        worker.owes = worker.token < term;
        for command in commands {
            let attempt = match command {
                Command::Start { attempt, .. } | Command::Clear { attempt, .. } => *attempt,
                Command::Stop { .. } => continue,
            };
            let start = matches!(command, Command::Start { .. });
            for held in worker.held.iter_mut().filter(|h| h.attempt == attempt) {
                held.sent |= start;
                held.carried = true;
                worker.owes = true;
            }
        }
    }

    /// Direct messages that should go out now: fences, starts that were not
    /// sent yet, and stops. Marks them as under way. `spare` is the part of
    /// them that the process has time for: what does not go out waits for the
    /// worker's next check-in, whose answer carries the same.
    pub fn direct_messages(&mut self, now: f64, spare: f64) -> Vec<DirectMessage> {
        let mut out = Vec::new();
        let most = ((self.cfg.most_direct as f64 * spare) as usize).max(1);
        let mut due = std::mem::take(&mut self.attention).into_iter();
        while self.direct_under_way < most {
            let Some(name) = due.next() else { break };
            let Some(w) = self.workers.get(&name) else {
                continue;
            };
            if w.endpoint.is_empty() || w.return_sent {
                continue;
            }
            let fence = w.fenced_at.is_none() && (w.up() || !w.held.is_empty());
            let act = w.fenced_at.is_some()
                && w.session > w.dead_session
                && w.held.iter().any(|h| {
                    h.session == w.session
                        && match (h.phase, h.stop) {
                            (Phase::Recorded, None) => !h.sent,
                            (
                                Phase::Recorded
                                | Phase::On(TaskState::Fetching | TaskState::Running),
                                Some(s),
                            ) => h.sent && s.at >= w.heard_at,
                            _ => false,
                        }
                });
            // Who is in doubt is asked: whoever lives and hears answers.
            let ask = w.session > w.dead_session
                && (w.order.wonders() || (w.fenced_at.is_some() && w.hearing.in_question()));
            if !fence && !act {
                // Many may be deaf at once: their questions must not stand in
                // the way of starts. The next check-in brings them up again.
                if !ask || self.questions >= most.div_ceil(QUESTIONS) {
                    continue;
                }
            }
            // Those that can't have one now are looked at again.
            if w.direct_busy || now < w.direct_after {
                self.attention.insert(name);
                continue;
            }
            let commands = if fence {
                Vec::new()
            } else {
                self.commands(&name, now)
            };
            let Some(worker) = self.workers.get_mut(&name) else {
                continue;
            };
            // A start goes out in one direct message at most, which may be late:
            // check-ins bring it again.
            let fresh = |c: &Command| match c {
                Command::Start { attempt, .. } => {
                    let held = worker.held.iter().find(|h| h.attempt == *attempt);
                    held.is_some_and(|h| !h.sent)
                }
                Command::Stop { .. } => true,
                Command::Clear { .. } => false,
            };
            let commands: Vec<Command> = commands.into_iter().filter(fresh).collect();
            let mut starts = Vec::new();
            for command in &commands {
                if let Command::Start { attempt, .. } = command {
                    starts.push(*attempt);
                    for held in worker.held.iter_mut().filter(|h| h.attempt == *attempt) {
                        held.sent = true;
                        held.direct_pending += 1;
                    }
                }
            }
            let question = !fence && !act;
            self.questions += usize::from(question);
            worker.direct_busy = true;
            worker.order.asked();
            self.direct_under_way += 1;
            let session = if worker.session > 0 {
                worker.session
            } else {
                worker.held.iter().map(|h| h.session).max().unwrap_or(1)
            };
            out.push(DirectMessage {
                worker: name,
                endpoint: worker.endpoint.clone(),
                session,
                commands,
                starts,
                before: worker.order.newest,
                question,
            });
        }
        self.attention.extend(due);
        out
    }

    /// A direct message was answered, or given up (`answered` false). When
    /// given up, its starts may yet be executed. `never_sent` tells that no
    /// connection came about.
    pub fn direct_done(
        &mut self,
        message: &DirectMessage,
        answered: bool,
        never_sent: bool,
        now: f64,
    ) {
        let (report_s, limits) = (self.cfg.report_s, self.cfg.hearing());
        self.direct_under_way = self.direct_under_way.saturating_sub(1);
        self.questions = self.questions.saturating_sub(usize::from(message.question));
        self.attention.insert(message.worker.clone());
        let Some(worker) = self.workers.get_mut(&message.worker) else {
            return;
        };
        worker.direct_busy = false;
        if answered {
            worker.direct_failures = 0;
        } else {
            worker.direct_failures += 1;
            // It speaks, and does not hear.
            if now - worker.heard_at < report_s * 1.5 {
                worker.hearing.sign(Sign::Unanswered, now, &limits);
            }
            let doublings = worker.direct_failures.min(4) - 1;
            worker.direct_after = now + report_s * 0.5 * f64::from(1u32 << doublings);
        }
        for held in &mut worker.held {
            if message.starts.contains(&held.attempt) {
                held.direct_pending = held.direct_pending.saturating_sub(1);
                if !answered && !never_sent {
                    held.uncertain_since = Some(now);
                }
            }
        }
    }
}

/// Grace that a stop gives: enough to save, or none.
fn grace(held: &Held, stop: Stop, now: f64) -> f64 {
    let saves = held.spec.checkpoint_every_s > 0.0;
    let wanted = !matches!(stop.reason, StopReason::Cancelled | StopReason::Duplicate);
    // A save that takes many times what was said is ended.
    let overdue = now - stop.at > held.spec.save_s * 4.0 + 5.0;
    if saves && wanted && !overdue {
        held.spec.save_s.max(0.001)
    } else {
        0.0
    }
}
