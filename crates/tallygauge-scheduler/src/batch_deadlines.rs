//! Cutoffs and ranks in the picture: which job counts for what, what is at risk,
//! and how much that raises a job within the step of its urgency.
//!
//! Users' urgency and teams' guarantees alone decide what may be stopped; this
//! decides the order among what waits.

use crate::{cluster_state::ClusterState, events::ClusterEvent, model::*};
use std::collections::BTreeMap;
use tallygauge_deadlines::{
    CutoffEvent, CutoffLoad, CutoffRule, CutoffWindow, DeadlineTracker, Forecast, forecasts,
    inferred,
};
use tallygauge_priority::{MAX_RANK, PriorityRules};

/// Part of the way to the next step of urgency that a rise goes at most: never
/// as far as that.
const RISE: f64 = 0.9;

/// What the step after the highest would be worth, against the highest.
const ABOVE: f64 = 2.0;

/// Leases in the stretch that drawn cutoffs are gathered in.
const STRETCH_LEASES: f64 = 8.0;

/// What a cutoff still needs.
struct CutoffWork<'a> {
    due: &'a CutoffWindow,
    jobs: usize,
    work: f64,
    longest_s: f64,
    teams: BTreeMap<usize, f64>,
}

/// A cutoff that is open, for operators.
#[derive(Debug, Clone, PartialEq)]
pub struct CutoffStatus {
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
    pub forecast: Option<Forecast>,
}

impl ClusterState {
    /// Takes up what operators declared: cutoffs, and whether those that are drawn
    /// from jobs raise work as well.
    pub fn set_cutoff_rules(&mut self, rules: Vec<CutoffRule>, act_on_drawn: bool) {
        self.batch_deadlines.rules = rules;
        self.batch_deadlines.act_on_inferred = act_on_drawn;
        // A cutoff may move while its batch runs.
        let ids: Vec<String> = self.jobs.keys().cloned().collect();
        for id in ids {
            let job = self.jobs.get_mut(&id);
            if let Some(at) = job.and_then(|j| j.accepted_time_of_day.take()) {
                self.set_accepted_time_of_day(&id, at);
            }
        }
    }

    /// Takes up what an earlier leader counted.
    pub fn restore_deadline_tracker(&mut self, book: DeadlineTracker) {
        self.batch_deadlines.tracker = book;
    }

    /// What is to be kept of the calendar.
    #[must_use]
    pub fn deadline_tracker(&self) -> &DeadlineTracker {
        &self.batch_deadlines.tracker
    }

    /// The ranks in force from now on. They must be on record.
    pub fn set_priority_rules(&mut self, ledger: PriorityRules) {
        self.batch_deadlines.priority_rules = ledger;
        self.needs_scheduling = true;
    }

    /// The ranks in force.
    #[must_use]
    pub fn priority_rules(&self) -> &PriorityRules {
        &self.batch_deadlines.priority_rules
    }

    /// A job that was just added was accepted at this time of day, as its record
    /// says: every leader finds the same cutoff for it.
    pub fn set_accepted_time_of_day(&mut self, id: &str, at: f64) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.accepted_time_of_day.is_some() {
            return;
        }
        job.accepted_time_of_day = Some(at);
        let (class, team) = (&job.spec.class, &job.spec.team);
        let rules = self
            .batch_deadlines
            .rules
            .iter()
            .filter(|r| r.applies_to(class, team));
        let declared = rules.filter_map(|r| r.window_at(at));
        let first = declared.min_by(|a, b| a.cutoff.total_cmp(&b.cutoff));
        let stretch = self.config.lease_s * STRETCH_LEASES;
        let soft = self.config.class_deadline_s.get(class).copied();
        let own = job.spec.deadline_s.into_iter().chain(soft);
        let own = own.reduce(f64::min);
        job.cutoff = first.or_else(|| Some(inferred(class, team, at, own?, stretch)));
        if let Some(due) = job.cutoff.clone()
            && let Some(CutoffEvent::Opened(name)) = self.batch_deadlines.tracker.add_job(&due)
        {
            self.events.push(ClusterEvent::CutoffOpened {
                cutoff: name,
                is_declared: due.declared,
            });
        }
    }

    /// A job that counts for a cutoff is done.
    pub(crate) fn record_cutoff_completion(&mut self, job: &Job, now: f64) {
        let at = now + self.minimum_share.time_of_day_offset;
        if let Some(due) = job.cutoff.as_ref().filter(|_| job.is_complete()) {
            self.batch_deadlines
                .tracker
                .record_job_done(&due.name, job.spec.tasks, at);
        }
    }

    /// Looks at all cutoffs and ranks. To be called about four times a report
    /// interval.
    pub fn update_deadline_risk(&mut self, now: f64) {
        let at = now + self.minimum_share.time_of_day_offset;
        let mut needs: BTreeMap<&str, CutoffWork> = BTreeMap::new();
        for job in self.jobs.values() {
            let Some(due) = &job.cutoff else { continue };
            let need = needs.entry(&due.name).or_insert_with(|| CutoffWork {
                due,
                jobs: 0,
                work: 0.0,
                longest_s: 0.0,
                teams: BTreeMap::new(),
            });
            need.jobs += 1;
            need.work += self.remaining_cpu_s(job);
            need.longest_s = need.longest_s.max(self.remaining_s(job, 0.0));
            need.teams
                .insert(job.team, self.config.teams[job.team].max_cpus);
        }
        let cpus = self.total_cpus(now);
        let loads: Vec<CutoffLoad> = needs
            .values()
            .map(|need| CutoffLoad {
                left_s: need.due.cutoff - at,
                cpu_s: need.work,
                cpus: need.teams.values().sum(),
                longest_s: need.longest_s,
            })
            .collect();
        let found = forecasts(&loads, cpus);
        let mut events = Vec::new();
        let mut verdicts = BTreeMap::new();
        for ((name, need), verdict) in needs.iter().zip(found) {
            let before = self.batch_deadlines.forecasts.get(*name);
            if verdict.at_risk && !before.is_some_and(|v| v.at_risk) {
                events.push(ClusterEvent::CutoffAtRisk {
                    cutoff: need.due.name.clone(),
                    is_declared: need.due.declared,
                    open_jobs: need.jobs,
                    remaining_cpu_s: need.work,
                    late_s: -verdict.slack_s,
                    missing_cpus: verdict.missing_cpus,
                });
            }
            verdicts.insert(need.due.name.clone(), verdict);
        }
        let open = |name: &str| needs.get(name).map_or(0, |n| n.jobs);
        for event in self.batch_deadlines.tracker.expire(at, &open) {
            events.push(match event {
                CutoffEvent::Opened(cutoff) => ClusterEvent::CutoffOpened {
                    cutoff,
                    is_declared: true,
                },
                CutoffEvent::Missed(cutoff) => ClusterEvent::CutoffPassed {
                    open_jobs: open(&cutoff),
                    cutoff,
                },
                CutoffEvent::Closed(cutoff, true, _) => ClusterEvent::CutoffMet { cutoff },
                CutoffEvent::Closed(cutoff, false, late_s) => {
                    ClusterEvent::CutoffMissed { cutoff, late_s }
                }
            });
        }
        self.events.extend(events);
        self.batch_deadlines.forecasts = verdicts;
        self.update_boosts(at);
    }

    /// How far each job is raised within the step of its urgency.
    fn update_boosts(&mut self, at: f64) {
        let trade = &self.batch_deadlines;
        let ranked = trade.priority_rules.current().is_some();
        let open = |window: &str, at: f64| {
            let mut rules = trade.rules.iter().filter(|r| r.name == window);
            rules.any(|r| r.window_at(at).is_some())
        };
        for job in self.jobs.values_mut() {
            let risk = job.cutoff.as_ref().is_some_and(|due| {
                let acts = due.declared || trade.act_on_inferred;
                acts && trade.forecasts.get(&due.name).is_some_and(|v| v.at_risk)
            });
            let rank = if ranked {
                let accepted = job.accepted_time_of_day.unwrap_or(at);
                let key = (job.spec.class.as_str(), job.spec.team.as_str());
                f64::from(trade.priority_rules.rank(key, accepted, at, &open)) / f64::from(MAX_RANK)
            } else {
                0.0
            };
            job.boost = if risk { 1.0 } else { rank };
        }
    }

    /// CPUs of machines that are there or on their way.
    fn total_cpus(&self, now: f64) -> f64 {
        let usable = self
            .workers
            .values()
            .filter(|w| w.accepts_work(now, &self.config) || (!w.is_up() && w.leaving.is_none()));
        let types = usable.filter_map(|w| self.machine_types.get(&w.machine_type));
        types.map(|t| t.cpus).sum()
    }

    /// Worth of a job's tasks that would end at `end`, for the order among what
    /// waits: raised within the step of its urgency.
    pub(crate) fn ordering_utility(&self, job: &Job, end: f64) -> f64 {
        let worth = self.utility(job, end);
        if job.boost <= 0.0 {
            return worth;
        }
        let step = priority_index(job.spec.priority);
        let own = self.config.utility[step];
        let next = self.config.utility.get(step + 1).copied();
        let next = next.unwrap_or(own * ABOVE).max(own);
        worth * (next / own).powf(job.boost * RISE)
    }

    /// Cutoffs that are open, for operators.
    #[must_use]
    pub fn cutoff_statuses(&self, now: f64) -> Vec<CutoffStatus> {
        let at = now + self.minimum_share.time_of_day_offset;
        let mut open: BTreeMap<&str, usize> = BTreeMap::new();
        for due in self.jobs.values().filter_map(|j| j.cutoff.as_ref()) {
            *open.entry(&due.name).or_default() += 1;
        }
        let lines = self.batch_deadlines.tracker.open();
        lines
            .map(|(name, line)| CutoffStatus {
                name: name.to_string(),
                declared: line.declared,
                left_s: line.cutoff - at,
                done: line.done,
                open: open.get(name).copied().unwrap_or(0),
                forecast: self.batch_deadlines.forecasts.get(name).copied(),
            })
            .collect()
    }
}
