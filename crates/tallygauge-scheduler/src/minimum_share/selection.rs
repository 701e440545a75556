//! Selects the jobs that get priority for underserved classes and teams.

use super::{
    backlog::{AvailableKind, Backlog, OpenJob},
    state::PriorityClaim,
};
use crate::{
    cluster_state::ClusterState,
    events::{ClusterEvent, UnderservedGroup},
    model::*,
};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use tallygauge_fairness::{
    Candidate, GroupIds, LARGEST_FRACTION, Selection, ShareTarget, Shortfall, select_underserved,
};
use tallygauge_protocol::users::Shape;

/// Maximum fraction of its service deadline after which a job counts as overdue if the
/// backlog takes longer than that deadline:
///
/// - The longer the backlog takes, the smaller is the fraction that applies.
/// - A job that takes longer by itself is overdue only after that time.
///
/// For [`OverdueRule::Backlog`], this is also the fraction of the backlog's time after which
/// a job counts as overdue at the latest.
const OVERDUE_FRACTION: f64 = 0.7;

/// Minimum share of a class or team, as a fraction of the configured target share.
const MIN_SHARE_FRACTION: f64 = 0.85;

/// What determines when a job counts as overdue.
#[derive(Clone, Copy, PartialEq, Eq)]
enum OverdueRule {
    /// Its service deadline.
    ServiceDeadline,
    /// Its service deadline or the backlog, whichever is earlier, so that a loose objective
    /// doesn't keep a job from counting as overdue.
    Backlog,
}

impl ClusterState {
    /// Selects the jobs that get priority for underserved classes and teams, and
    /// reserves machines for them. To be called about four times per heartbeat
    /// interval.
    pub fn select_underserved(&mut self, now: f64) {
        if self.config.minimum_share.share <= 0.0 {
            return;
        }
        let largest_groups = self.assign_largest_groups();
        let open_jobs = self.open_jobs(largest_groups);
        let selection = self.select_jobs(&open_jobs, now);
        let selected: Vec<&Job> = selection
            .selected
            .iter()
            .map(|s| open_jobs[s.candidate].job)
            .collect();
        let claims = priority_claims(&selection, &selected);
        let machine_share = machine_share(&open_jobs, &claims);
        let reserved = self.reserve_machines(&selected, &claims, machine_share, now);
        if claims.is_empty() != self.minimum_share.claims.is_empty() {
            let event = self.enforcement_event(claims.len(), &selection.shortfalls, now);
            self.events.push(event);
        }
        self.minimum_share.shortfalls = selection.shortfalls;
        self.minimum_share.claims = claims;
        self.minimum_share.reserved = reserved;
        self.minimum_share.machine_share = machine_share;
    }

    /// Finds the open jobs that are among the largest of their class. Returns, for each
    /// open job in order, the group of the largest jobs of its class if it is among
    /// them.
    fn assign_largest_groups(&mut self) -> Vec<Option<usize>> {
        let service_counts = &mut self.minimum_share.service_counts;
        let thresholds = service_counts.size_thresholds(LARGEST_FRACTION);
        let mut group_by_class: HashMap<usize, usize> = HashMap::new();
        for class in thresholds.keys() {
            group_by_class.insert(*class, service_counts.largest_group_id(*class));
        }
        let groups = self.jobs.values().map(|job| {
            let class = job.group_ids[0];
            let is_largest = thresholds.get(&class)?.is_reached_by(job.size());
            is_largest.then(|| group_by_class[&class])
        });
        let groups: Vec<Option<usize>> = groups.collect();
        let by_job = self.jobs.keys().zip(&groups);
        self.minimum_share.largest_group_by_job = by_job
            .filter_map(|(id, group)| Some((id.clone(), (*group)?)))
            .collect();
        groups
    }

    fn open_jobs(&self, largest_groups: Vec<Option<usize>>) -> Vec<OpenJob<'_>> {
        let jobs = self.jobs.values().zip(largest_groups);
        jobs.map(|(job, largest_group)| OpenJob {
            job,
            remaining_cpu_s: self.remaining_cpu_s(job),
            largest_group,
        })
        .collect()
    }

    fn select_jobs(&self, open_jobs: &[OpenJob], now: f64) -> Selection {
        let backlog = self.backlog(open_jobs, now);
        let target_share = self.config.minimum_share.share;
        let target = ShareTarget {
            min_share: target_share * MIN_SHARE_FRACTION,
            target_share,
        };
        let unix_time_s = self.unix_time_s(now);
        let select = |rule: OverdueRule| {
            let candidates: Vec<Candidate> = open_jobs
                .iter()
                .map(|open| self.candidate(open, &backlog, rule, now))
                .collect();
            let service_counts = &self.minimum_share.service_counts;
            select_underserved(service_counts, &candidates, target, unix_time_s)
        };
        let selection = select(OverdueRule::ServiceDeadline);
        if selection.selected.is_empty() {
            return selection;
        }
        // Some class or team is underserved: now measure all jobs by the same rule,
        // whatever their objectives.
        select(OverdueRule::Backlog)
    }

    /// The job as input to [`select_underserved`].
    fn candidate(
        &self,
        open: &OpenJob,
        backlog: &Backlog,
        rule: OverdueRule,
        now: f64,
    ) -> Candidate {
        let job = open.job;
        let is_pending = job.has_pending_tasks();
        let age_s = now - job.accepted_at;
        let deadline_s = self.service_deadline_s(job);
        let run_s = self.remaining_s(job, 0.0);
        let overdue_s = age_s - self.overdue_after_s(job, deadline_s, backlog, rule);
        Candidate {
            groups: GroupIds {
                largest: open.largest_group,
                ..job.groups()
            },
            remaining_cpu_s: open.remaining_cpu_s,
            overdue_s: (overdue_s > 0.0).then_some(overdue_s),
            late: age_s + if is_pending { run_s } else { 0.0 } > deadline_s,
            long_overdue: overdue_s > deadline_s,
            fits: self.fits_available_kind(job, backlog),
            served: job.spec.shape == Shape::Service && !is_pending,
        }
    }

    /// Seconds from a job's acceptance until the job counts as overdue. `deadline_s` is the
    /// job's service deadline.
    fn overdue_after_s(
        &self,
        job: &Job,
        deadline_s: f64,
        backlog: &Backlog,
        rule: OverdueRule,
    ) -> f64 {
        // A large job takes this long even with all CPUs that its team can use, and is
        // not overdue earlier by its service deadline.
        let alone_s = job.spec.cpus * f64::from(job.spec.tasks) * self.remaining_s(job, 0.0)
            / backlog.max_cpus_by_team[job.team];
        let backlog_s = backlog.seconds(job, self.smallest_fitting_cpus(job));
        let fraction = if backlog_s > deadline_s {
            OVERDUE_FRACTION.min(deadline_s / backlog_s)
        } else {
            1.0
        };
        let overdue_after_s = (deadline_s * fraction).max(alone_s);
        match rule {
            OverdueRule::ServiceDeadline => overdue_after_s,
            OverdueRule::Backlog => overdue_after_s.min(backlog_s * OVERDUE_FRACTION),
        }
    }

    /// Whether a task of the job fits a kind of machine that exists or that can be
    /// rented.
    fn fits_available_kind(&self, job: &Job, backlog: &Backlog) -> bool {
        let no_attempts_by_zone = BTreeMap::new();
        let fits = |kind: &AvailableKind| {
            job.allows(
                kind.machine_type,
                kind.zone,
                kind.spot,
                &no_attempts_by_zone,
            ) && self
                .machine_types
                .get(kind.machine_type)
                .is_some_and(|t| Resources::of_type(t).can_fit(&job.spec))
        };
        backlog.available_kinds.iter().any(fits)
    }

    /// The event that tells operators that the minimum share begins or ceases to give
    /// jobs priority.
    fn enforcement_event(
        &self,
        claim_count: usize,
        shortfalls: &[Shortfall],
        now: f64,
    ) -> ClusterEvent {
        if claim_count == 0 {
            return ClusterEvent::MinimumShareReached;
        }
        let service_counts = &self.minimum_share.service_counts;
        let unix_time_s = self.unix_time_s(now);
        let underserved = shortfalls
            .iter()
            .enumerate()
            .filter(|(_, shortfall)| shortfall.to_target_share > 0);
        let groups = underserved.map(|(group, shortfall)| UnderservedGroup {
            name: service_counts.keys()[group].name.to_string(),
            done_within_day: service_counts.done_in_windows(group, unix_time_s)[0],
            overdue: shortfall.overdue,
            to_target_share: shortfall.to_target_share,
        });
        ClusterEvent::MinimumShareEnforced {
            jobs: claim_count,
            groups: groups.collect(),
        }
    }
}

/// A priority claim for each selected job, by job id.
fn priority_claims(selection: &Selection, jobs: &[&Job]) -> HashMap<String, PriorityClaim> {
    let mut claims = HashMap::new();
    for (order, (selected, job)) in (0..).zip(selection.selected.iter().zip(jobs)) {
        let claim = PriorityClaim {
            group: job.group_ids[0],
            for_min_share: selected.for_min_share,
            order,
        };
        claims.insert(job.spec.id.clone(), claim);
    }
    claims
}

/// Fraction of the machines that jobs with priority may use: each class with such jobs
/// gets an equal part, and so do all other classes with pending work together.
fn machine_share(open_jobs: &[OpenJob], claims: &HashMap<String, PriorityClaim>) -> f64 {
    let with_claims: BTreeSet<usize> = claims.values().map(|c| c.group).collect();
    let others_wait = open_jobs
        .iter()
        .any(|open| !with_claims.contains(&open.job.group_ids[0]) && open.job.has_pending_tasks());
    let parts = with_claims.len() + usize::from(others_wait);
    with_claims.len() as f64 / parts.max(1) as f64
}
