//! Batch deadlines (cutoffs) and priority rules: which cutoff a job counts for, which
//! cutoffs are at risk, and how far a job is boosted for that or for its rank.
//!
//! A boost affects the order of pending tasks within one user priority only. It never
//! decides what is preempted: user priorities and team guarantees alone do.

pub(crate) mod state;

use crate::{
    cluster_state::ClusterState,
    events::{ClusterEvent, CutoffAlert},
    model::*,
};
use std::{collections::BTreeMap, sync::Arc};
use tallygauge_deadlines::{
    CutoffEvent, CutoffLoad, CutoffRule, CutoffWindow, DeadlineTracker, Forecast, forecast_cutoffs,
    infer_cutoff,
};
use tallygauge_priority::{MAX_RANK, PriorityRules};

/// Fraction of the distance from the utility of a job's priority to that of the next
/// higher one which a full boost covers, on a logarithmic scale. Less than 1, so that a
/// boosted job never reaches the next priority.
const MAX_BOOST_FRACTION: f64 = 0.9;

/// Utility towards which jobs of the highest priority are boosted, as a multiple of the
/// utility of that priority.
const ABOVE_HIGHEST_FACTOR: f64 = 2.0;

/// Length of the time windows in which inferred cutoffs are grouped, as a multiple of
/// the lease duration.
const INFERENCE_WINDOW_LEASES: f64 = 8.0;

/// Open work that counts for a cutoff.
struct CutoffWork {
    /// The cutoff, Unix time in seconds.
    cutoff: f64,
    /// Whether operators declared it; otherwise it was inferred from jobs.
    declared: bool,
    /// Number of open jobs.
    jobs: usize,
    /// CPU-seconds of work left.
    cpu_s: f64,
    /// Run time of the longest task, in seconds.
    longest_task_s: f64,
    /// Maximum CPUs of each team with such work, by index of the team.
    max_cpus_by_team: BTreeMap<usize, f64>,
}

/// Open work by the name of its cutoff.
type WorkByCutoff = BTreeMap<Arc<str>, CutoffWork>;

/// Status of an open cutoff, for operators.
#[derive(Debug, Clone, PartialEq)]
pub struct CutoffStatus {
    /// Name of the cutoff.
    pub name: String,
    /// Whether operators declared it; otherwise it was inferred from jobs.
    pub declared: bool,
    /// Seconds until the cutoff.
    pub left_s: f64,
    /// Number of jobs done, and how many of these were done after the cutoff.
    pub done: (u32, u32),
    /// Number of open jobs.
    pub open: usize,
    /// Forecast of whether it will be met, as of the last update.
    pub forecast: Option<Forecast>,
}

impl ClusterState {
    /// Sets the cutoffs that operators declared, and whether inferred cutoffs boost jobs
    /// as well. Assigns the jobs to cutoffs anew.
    pub fn set_cutoff_rules(&mut self, rules: Vec<CutoffRule>, act_on_inferred: bool) {
        self.batch_deadlines.rules = rules;
        self.batch_deadlines.act_on_inferred = act_on_inferred;
        // A declared cutoff may be moved while its batch runs.
        let ids: Vec<String> = self.jobs.keys().cloned().collect();
        for id in ids {
            let job = self.jobs.get_mut(&id);
            if let Some(unix_time_s) = job.and_then(|j| j.accepted_unix_time_s.take()) {
                self.set_accepted_unix_time(&id, unix_time_s);
            }
        }
    }

    /// Restores the counts for open cutoffs that an earlier leader recorded.
    pub fn restore_deadline_tracker(&mut self, tracker: DeadlineTracker) {
        self.batch_deadlines.tracker = tracker;
    }

    /// The counts for each open cutoff, for the leader to record.
    #[must_use]
    pub fn deadline_tracker(&self) -> &DeadlineTracker {
        &self.batch_deadlines.tracker
    }

    /// Puts priority rules into force. They must have been recorded before.
    pub fn set_priority_rules(&mut self, rules: PriorityRules) {
        self.batch_deadlines.priority_rules = rules;
        self.needs_scheduling = true;
    }

    /// The priority rules in force.
    #[must_use]
    pub fn priority_rules(&self) -> &PriorityRules {
        &self.batch_deadlines.priority_rules
    }

    /// Sets the Unix time, in seconds, at which a job that was just added was accepted, and
    /// assigns the job to its cutoff. The time is the one in the job's record, so that
    /// every leader finds the same cutoff.
    pub fn set_accepted_unix_time(&mut self, id: &str, unix_time_s: f64) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        if job.accepted_unix_time_s.is_some() {
            return;
        }
        let cutoff = self.find_cutoff(job, unix_time_s);
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.accepted_unix_time_s = Some(unix_time_s);
        job.cutoff = cutoff;
        if let Some(window) = job.cutoff.clone()
            && let Some(CutoffEvent::Opened(name)) =
                self.batch_deadlines.tracker.track_cutoff(&window)
        {
            self.events.push(ClusterEvent::Cutoff(CutoffAlert::Opened {
                cutoff: name,
                is_declared: window.declared,
            }));
        }
    }

    /// The cutoff that a job counts for: the earliest declared one that applies to it, or
    /// else one inferred from the shorter of its deadline and that of its class, if there
    /// is one.
    fn find_cutoff(&self, job: &Job, accepted_unix_time_s: f64) -> Option<CutoffWindow> {
        let (class, team) = (&job.spec.class, &job.spec.team);
        let rules = self.batch_deadlines.rules.iter();
        let declared = rules
            .filter(|r| r.applies_to(class, team))
            .filter_map(|r| r.window_at(accepted_unix_time_s))
            .min_by(|a, b| a.cutoff.total_cmp(&b.cutoff));
        if declared.is_some() {
            return declared;
        }
        let window_s = self.config.lease_s * INFERENCE_WINDOW_LEASES;
        let class_deadline_s = self.config.class_deadline_s.get(class).copied();
        let deadlines = job.spec.deadline_s.into_iter().chain(class_deadline_s);
        let deadline_s = deadlines.reduce(f64::min)?;
        Some(infer_cutoff(
            class,
            team,
            accepted_unix_time_s,
            deadline_s,
            window_s,
        ))
    }

    /// Counts a job towards its cutoff, if it is complete.
    pub(crate) fn record_cutoff_completion(&mut self, job: &Job, now: f64) {
        let unix_time_s = self.unix_time_s(now);
        if let Some(cutoff) = job.cutoff.as_ref().filter(|_| job.is_complete()) {
            let tracker = &mut self.batch_deadlines.tracker;
            tracker.record_job_done(&cutoff.name, job.spec.tasks, unix_time_s);
        }
    }

    /// Updates the forecasts of all cutoffs, expires those that have passed, and updates
    /// the boosts of all jobs. To be called about four times per heartbeat interval.
    pub fn update_deadline_risk(&mut self, now: f64) {
        let unix_time_s = self.unix_time_s(now);
        let work = self.work_by_cutoff();
        let forecasts = self.forecast_cutoffs(&work, unix_time_s, now);
        let mut events = self.new_risk_events(&work, &forecasts);
        let open_jobs = |name: &str| work.get(name).map_or(0, |w| w.jobs);
        let expired = self.batch_deadlines.tracker.expire(unix_time_s, &open_jobs);
        for event in expired {
            events.push(expiry_event(event, &open_jobs));
        }
        self.events.extend(events);
        self.batch_deadlines.forecasts = forecasts;
        self.update_boosts(unix_time_s);
    }

    /// Sums up the open work of each cutoff.
    fn work_by_cutoff(&self) -> WorkByCutoff {
        let mut work_by_cutoff = WorkByCutoff::new();
        for job in self.jobs.values() {
            let Some(cutoff) = &job.cutoff else { continue };
            if !work_by_cutoff.contains_key(&cutoff.name) {
                work_by_cutoff.insert(cutoff.name.clone(), CutoffWork::empty_for(cutoff));
            }
            let Some(work) = work_by_cutoff.get_mut(&cutoff.name) else {
                continue;
            };
            work.jobs += 1;
            work.cpu_s += self.remaining_cpu_s(job);
            work.longest_task_s = work.longest_task_s.max(self.remaining_s(job, 0.0));
            let max_cpus = self.config.teams[job.team].max_cpus;
            work.max_cpus_by_team.insert(job.team, max_cpus);
        }
        work_by_cutoff
    }

    /// Forecasts by name of the cutoff.
    fn forecast_cutoffs(
        &self,
        work: &WorkByCutoff,
        unix_time_s: f64,
        now: f64,
    ) -> BTreeMap<Arc<str>, Forecast> {
        let loads: Vec<CutoffLoad> = work
            .values()
            .map(|work| CutoffLoad {
                left_s: work.cutoff - unix_time_s,
                cpu_s: work.cpu_s,
                max_cpus: work.max_cpus_by_team.values().sum(),
                longest_task_s: work.longest_task_s,
            })
            .collect();
        let forecasts = forecast_cutoffs(&loads, self.usable_or_booting_cpus(now));
        work.keys().cloned().zip(forecasts).collect()
    }

    /// Events for the cutoffs that are at risk and were not at the last update.
    fn new_risk_events(
        &self,
        work: &WorkByCutoff,
        forecasts: &BTreeMap<Arc<str>, Forecast>,
    ) -> Vec<ClusterEvent> {
        let mut events = Vec::new();
        for ((name, work), forecast) in work.iter().zip(forecasts.values()) {
            let previous = self.batch_deadlines.forecasts.get(name);
            if forecast.at_risk && !previous.is_some_and(|f| f.at_risk) {
                events.push(ClusterEvent::Cutoff(CutoffAlert::AtRisk {
                    cutoff: name.clone(),
                    is_declared: work.declared,
                    open_jobs: work.jobs,
                    remaining_cpu_s: work.cpu_s,
                    late_s: -forecast.slack_s,
                    missing_cpus: forecast.missing_cpus,
                }));
            }
        }
        events
    }

    /// Updates how far each job is boosted within its priority: fully if its cutoff is at
    /// risk, otherwise in proportion to its rank.
    fn update_boosts(&mut self, unix_time_s: f64) {
        let deadlines = &self.batch_deadlines;
        let is_open = |rule_name: &str, unix_time_s: f64| {
            let mut rules = deadlines.rules.iter().filter(|r| r.name == rule_name);
            rules.any(|r| r.window_at(unix_time_s).is_some())
        };
        let has_ranks = deadlines.priority_rules.current().is_some();
        for job in self.jobs.values_mut() {
            let is_at_risk = job.cutoff.as_ref().is_some_and(|cutoff| {
                let may_boost = cutoff.declared || deadlines.act_on_inferred;
                let forecast = deadlines.forecasts.get(&cutoff.name);
                may_boost && forecast.is_some_and(|f| f.at_risk)
            });
            let rank = if has_ranks {
                let accepted = job.accepted_unix_time_s.unwrap_or(unix_time_s);
                let key = (job.spec.class.as_str(), job.spec.team.as_str());
                let rules = &deadlines.priority_rules;
                f64::from(rules.rank(key, accepted, unix_time_s, &is_open)) / f64::from(MAX_RANK)
            } else {
                0.0
            };
            job.boost = if is_at_risk { 1.0 } else { rank };
        }
    }

    /// Utility of a job's tasks that end at `end`, for the order of pending tasks: boosted
    /// towards the utility of the next higher priority.
    pub(crate) fn ordering_utility(&self, job: &Job, end: f64) -> f64 {
        let utility = self.utility(job, end);
        if job.boost <= 0.0 {
            return utility;
        }
        let priority = priority_index(job.spec.priority);
        let own = self.config.utility_by_priority[priority];
        let next = self.config.utility_by_priority.get(priority + 1).copied();
        let next = next.unwrap_or(own * ABOVE_HIGHEST_FACTOR).max(own);
        utility * (next / own).powf(job.boost * MAX_BOOST_FRACTION)
    }

    /// Status of each open cutoff, for operators.
    #[must_use]
    pub fn cutoff_statuses(&self, now: f64) -> Vec<CutoffStatus> {
        let unix_time_s = self.unix_time_s(now);
        let mut open_jobs: BTreeMap<&str, usize> = BTreeMap::new();
        for cutoff in self.jobs.values().filter_map(|j| j.cutoff.as_ref()) {
            *open_jobs.entry(&cutoff.name).or_default() += 1;
        }
        let cutoffs = self.batch_deadlines.tracker.open_cutoffs();
        cutoffs
            .map(|(name, counts)| CutoffStatus {
                name: name.to_string(),
                declared: counts.declared,
                left_s: counts.cutoff - unix_time_s,
                done: counts.done.into(),
                open: open_jobs.get(name).copied().unwrap_or(0),
                forecast: self.batch_deadlines.forecasts.get(name).copied(),
            })
            .collect()
    }
}

impl CutoffWork {
    /// No work yet, for a cutoff.
    fn empty_for(cutoff: &CutoffWindow) -> Self {
        Self {
            cutoff: cutoff.cutoff,
            declared: cutoff.declared,
            jobs: 0,
            cpu_s: 0.0,
            longest_task_s: 0.0,
            max_cpus_by_team: BTreeMap::new(),
        }
    }
}

/// The event that tells operators what became of a cutoff when it was checked for expiry.
fn expiry_event(event: CutoffEvent, open_jobs: &dyn Fn(&str) -> usize) -> ClusterEvent {
    match event {
        CutoffEvent::Opened(cutoff) => ClusterEvent::Cutoff(CutoffAlert::Opened {
            cutoff,
            is_declared: true,
        }),
        CutoffEvent::Missed(cutoff) => ClusterEvent::Cutoff(CutoffAlert::Passed {
            open_jobs: open_jobs(&cutoff),
            cutoff,
        }),
        CutoffEvent::Closed(cutoff, true, _) => ClusterEvent::Cutoff(CutoffAlert::Met { cutoff }),
        CutoffEvent::Closed(cutoff, false, late_s) => {
            ClusterEvent::Cutoff(CutoffAlert::Missed { cutoff, late_s })
        }
    }
}
