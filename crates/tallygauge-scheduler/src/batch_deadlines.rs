//! Cutoffs and ranks in the picture: which job counts for what, what is at risk,
//! and how much that raises a job within the step of its urgency.
//!
//! Users' urgency and teams' guarantees alone decide what may be stopped; this
//! decides the order among what waits.

use crate::{cluster_state::Cluster, model::*};
use std::collections::BTreeMap;
use tallygauge_deadlines::{Book, Due, Event, Load, Rule, Verdict, drawn, verdicts};
use tallygauge_priority::{HIGHEST, Ledger};

/// Part of the way to the next step of urgency that a rise goes at most: never
/// as far as that.
const RISE: f64 = 0.9;

/// What the step after the highest would be worth, against the highest.
const ABOVE: f64 = 2.0;

/// Leases in the stretch that drawn cutoffs are gathered in.
const STRETCH_LEASES: f64 = 8.0;

/// What a cutoff still needs.
struct Need<'a> {
    due: &'a Due,
    jobs: usize,
    work: f64,
    longest_s: f64,
    teams: BTreeMap<usize, f64>,
}

/// A cutoff that is open, for operators.
#[derive(Debug, Clone, PartialEq)]
pub struct Cutoff {
    /// Its name.
    pub name: String,
    /// Operators declared it.
    pub declared: bool,
    /// Seconds until it.
    pub left_s: f64,
    /// Jobs done, and of these too late.
    pub done: (u32, u32),
    /// Open jobs.
    pub open: usize,
    /// How it stands.
    pub verdict: Option<Verdict>,
}

impl Cluster {
    /// Takes up what operators declared: cutoffs, and whether those that are drawn
    /// from jobs raise work as well.
    pub fn set_calendar(&mut self, rules: Vec<Rule>, act_on_drawn: bool) {
        self.trade.rules = rules;
        self.trade.act_on_drawn = act_on_drawn;
        // A cutoff may move while its batch runs.
        let ids: Vec<String> = self.jobs.keys().cloned().collect();
        for id in ids {
            let job = self.jobs.get_mut(&id);
            if let Some(at) = job.and_then(|j| j.accepted_day.take()) {
                self.accepted(&id, at);
            }
        }
    }

    /// Takes up what an earlier leader counted.
    pub fn load_calendar(&mut self, book: Book) {
        self.trade.book = book;
    }

    /// What is to be kept of the calendar.
    #[must_use]
    pub fn calendar(&self) -> &Book {
        &self.trade.book
    }

    /// The ranks in force from now on. They must be on record.
    pub fn set_ledger(&mut self, ledger: Ledger) {
        self.trade.ledger = ledger;
        self.changed = true;
    }

    /// The ranks in force.
    #[must_use]
    pub fn ledger(&self) -> &Ledger {
        &self.trade.ledger
    }

    /// A job that was just added was accepted at this time of day, as its record
    /// says: every leader finds the same cutoff for it.
    pub fn accepted(&mut self, id: &str, at: f64) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.accepted_day.is_some() {
            return;
        }
        job.accepted_day = Some(at);
        let (class, team) = (&job.spec.class, &job.spec.team);
        let rules = self.trade.rules.iter().filter(|r| r.is_for(class, team));
        let declared = rules.filter_map(|r| r.due(at));
        let first = declared.min_by(|a, b| a.cutoff.total_cmp(&b.cutoff));
        let stretch = self.cfg.lease_s * STRETCH_LEASES;
        let soft = self.cfg.class_due_s.get(class).copied();
        let own = job.spec.deadline_s.into_iter().chain(soft);
        let own = own.reduce(f64::min);
        job.due = first.or_else(|| Some(drawn(class, team, at, own?, stretch)));
        if let Some(due) = job.due.clone()
            && let Some(Event::Opens(name)) = self.trade.book.job(&due)
        {
            let text = format!("cutoff {name} opens");
            self.events.push((due.declared, text));
        }
    }

    /// A job that counts for a cutoff is done.
    pub(crate) fn count_for_cutoff(&mut self, job: &Job, now: f64) {
        let at = now + self.floor.day;
        if let Some(due) = job.due.as_ref().filter(|_| job.complete()) {
            self.trade.book.done(&due.name, job.spec.tasks, at);
        }
    }

    /// Looks at all cutoffs and ranks. To be called about four times a report
    /// interval.
    pub fn look_at_trade(&mut self, now: f64) {
        let at = now + self.floor.day;
        let mut needs: BTreeMap<&str, Need> = BTreeMap::new();
        for job in self.jobs.values() {
            let Some(due) = &job.due else { continue };
            let need = needs.entry(&due.name).or_insert_with(|| Need {
                due,
                jobs: 0,
                work: 0.0,
                longest_s: 0.0,
                teams: BTreeMap::new(),
            });
            need.jobs += 1;
            need.work += self.work_left(job);
            need.longest_s = need.longest_s.max(self.remaining(job, 0.0));
            need.teams
                .insert(job.team, self.cfg.teams[job.team].cpus_max);
        }
        let cpus = self.room_for_all(now);
        let loads: Vec<Load> = needs
            .values()
            .map(|need| Load {
                left_s: need.due.cutoff - at,
                work: need.work,
                cpus: need.teams.values().sum(),
                longest_s: need.longest_s,
            })
            .collect();
        let found = verdicts(&loads, cpus);
        let mut events = Vec::new();
        let mut verdicts = BTreeMap::new();
        for ((name, need), verdict) in needs.iter().zip(found) {
            let before = self.trade.verdicts.get(*name);
            if verdict.at_risk && !before.is_some_and(|v| v.at_risk) {
                let text = format!(
                    "cutoff {name} is at risk: {} jobs, {:.0} CPU-s left, {:.0} s late as it stands, {:.0} CPUs lacking",
                    need.jobs, need.work, -verdict.slack_s, verdict.lacks
                );
                events.push((need.due.declared, text));
            }
            verdicts.insert(need.due.name.clone(), verdict);
        }
        let open = |name: &str| needs.get(name).map_or(0, |n| n.jobs);
        for event in self.trade.book.pass(at, &open) {
            events.push((
                true,
                match event {
                    Event::Opens(name) => format!("cutoff {name} opens"),
                    Event::Missed(name) => {
                        format!("cutoff {name} has passed with {} jobs open", open(&name))
                    }
                    Event::Closes(name, true, _) => format!("cutoff {name} was met"),
                    Event::Closes(name, false, late) => {
                        format!("cutoff {name} was missed by {late:.0} s")
                    }
                },
            ));
        }
        self.events.extend(events);
        self.trade.verdicts = verdicts;
        self.raise(at);
    }

    /// How far each job is raised within the step of its urgency.
    fn raise(&mut self, at: f64) {
        let trade = &self.trade;
        let ranked = trade.ledger.in_force().is_some();
        let open = |window: &str, at: f64| {
            let mut rules = trade.rules.iter().filter(|r| r.name == window);
            rules.any(|r| r.due(at).is_some())
        };
        for job in self.jobs.values_mut() {
            let risk = job.due.as_ref().is_some_and(|due| {
                let acts = due.declared || trade.act_on_drawn;
                acts && trade.verdicts.get(&due.name).is_some_and(|v| v.at_risk)
            });
            let rank = if ranked {
                let accepted = job.accepted_day.unwrap_or(at);
                let key = (job.spec.class.as_str(), job.spec.team.as_str());
                f64::from(trade.ledger.rank(key, accepted, at, &open)) / f64::from(HIGHEST)
            } else {
                0.0
            };
            job.rise = if risk { 1.0 } else { rank };
        }
    }

    /// CPUs of machines that are there or on their way.
    fn room_for_all(&self, now: f64) -> f64 {
        let usable = self
            .workers
            .values()
            .filter(|w| w.usable(now, &self.cfg) || (!w.up() && w.leaving.is_none()));
        let types = usable.filter_map(|w| self.types.get(&w.machine_type));
        types.map(|t| t.cpus).sum()
    }

    /// Worth of a job's tasks that would end at `end`, for the order among what
    /// waits: raised within the step of its urgency.
    pub(crate) fn order_worth(&self, job: &Job, end: f64) -> f64 {
        let worth = self.worth(job, end);
        if job.rise <= 0.0 {
            return worth;
        }
        let step = step(job.spec.priority);
        let own = self.cfg.worth[step];
        let next = self.cfg.worth.get(step + 1).copied();
        let next = next.unwrap_or(own * ABOVE).max(own);
        worth * (next / own).powf(job.rise * RISE)
    }

    /// Cutoffs that are open, for operators.
    #[must_use]
    pub fn cutoffs(&self, now: f64) -> Vec<Cutoff> {
        let at = now + self.floor.day;
        let mut open: BTreeMap<&str, usize> = BTreeMap::new();
        for due in self.jobs.values().filter_map(|j| j.due.as_ref()) {
            *open.entry(&due.name).or_default() += 1;
        }
        let lines = self.trade.book.open();
        lines
            .map(|(name, line)| Cutoff {
                name: name.to_string(),
                declared: line.declared,
                left_s: line.cutoff - at,
                done: line.done,
                open: open.get(name).copied().unwrap_or(0),
                verdict: self.trade.verdicts.get(name).copied(),
            })
            .collect()
    }
}
