//! The leader's periodic summary in the log: totals of the cluster state, the reasons for
//! which the oldest pending job waits, the status of cutoffs, and service counts.

use crate::{controller::Controller, fairness_summary};
use std::time::Duration;
use tallygauge_scheduler::{ClusterState, CutoffStatus, Job, WaitingRetry, Worker};

/// Interval between two summaries, in heartbeat intervals.
const SUMMARY_HEARTBEAT_INTERVALS: f64 = 4.0;

/// Measurements of this process, which are not part of the cluster state.
struct ProcessMeasurements {
    term: u64,
    /// Time since the last answered watch of active jobs was sent.
    watch_age_s: f64,
    longest_round_s: f64,
    scheduling_delay_s: f64,
    /// Requests that wait for the rate limiter of the store client.
    requests_waiting: usize,
    indeterminate_writes: usize,
    oldest_indeterminate_write: Duration,
    /// Longest time for which a job's polls have not been answered.
    oldest_unanswered_s: f64,
    connections: usize,
    connections_free: usize,
}

/// Logs a summary periodically for as long as this controller leads. Never returns.
pub async fn run(controller: &Controller) {
    let heartbeat_interval_s = controller.settings.deployment.workers.heartbeat_interval_s;
    let interval = Duration::from_secs_f64(heartbeat_interval_s * SUMMARY_HEARTBEAT_INTERVALS);
    loop {
        tokio::time::sleep(interval).await;
        let process = measure_process(controller);
        let now = controller.now();
        controller.with_cluster(|cluster| {
            log_totals(cluster, &process, now);
            log_oldest_pending_job(cluster, now);
            log_oldest_waiting_retry(cluster, now);
            log_cutoffs(cluster, now);
            log_group_statuses(cluster);
        });
    }
}

fn measure_process(controller: &Controller) -> ProcessMeasurements {
    let (now, expiry_s) = (controller.now(), controller.poll_expiry_s());
    let indeterminate = controller.store.indeterminate_writes();
    let oldest_unanswered_s = controller
        .unanswered_polls
        .longest_wait_s(now, expiry_s)
        .unwrap_or(0.0);
    let (term, watch_confirmed_at) = controller
        .leadership
        .lock()
        .as_ref()
        .map_or((0, now), |own| (own.term, own.watch_confirmed_at));
    ProcessMeasurements {
        term,
        watch_age_s: now - watch_confirmed_at,
        longest_round_s: controller.load.take_longest_round_s(),
        scheduling_delay_s: controller.load.scheduling_delay_s(),
        requests_waiting: controller.store.budget().waiting(),
        indeterminate_writes: indeterminate.count,
        oldest_indeterminate_write: indeterminate.oldest_age,
        oldest_unanswered_s,
        connections: controller.connection_limits.used(),
        connections_free: controller.connection_limits.free(),
    }
}

fn log_totals(cluster: &mut ClusterState, process: &ProcessMeasurements, now: f64) {
    let cpus = cluster.cpu_usage();
    let backlog = cluster.confirmation_backlog(now);
    let start_waits = cluster.take_start_waits();
    tracing::info!(
        term = process.term,
        watch_age_ms = (process.watch_age_s * 1000.0) as u64,
        unconfirmed_cancellations = backlog.unconfirmed_cancellations,
        oldest_unconfirmed_s = backlog.oldest_unconfirmed_s as u64,
        indeterminate_starts = backlog.indeterminate_starts,
        uncleared_attempts = backlog.uncleared_attempts,
        reappeared_attempts = cluster.reappeared_attempts,
        withheld_leases = backlog.withheld_leases,
        pending_returns = backlog.pending_returns,
        oldest_return_s = backlog.oldest_return_s as u64,
        requested_heartbeats = cluster.requested_heartbeats(),
        held_responses = cluster.held_responses(),
        starts_sent = start_waits.count,
        start_wait_median_ms = start_waits.median_ms,
        start_wait_p90_ms = start_waits.p90_ms,
        jobs = cluster.jobs.len(),
        tasks_running = running_tasks(cluster),
        tasks_pending = pending_tasks(cluster),
        machines = cluster.workers.len(),
        machines_up = cluster
            .workers
            .values()
            .filter(|worker| worker.has_reported())
            .count(),
        machine_types = cluster.machine_type_count(),
        machines_of_unknown_type = cluster.machines_of_unknown_type(),
        cpus_starting = cpus.starting,
        cpus_fetching = cpus.fetching,
        cpus_running = cpus.running,
        cpus_free = cpus.free,
        start_claims = cluster.start_claims(),
        oldest_unstarted_s = cluster.oldest_unstarted_s(now) as u64,
        longest_round_ms = (process.longest_round_s * 1000.0) as u64,
        scheduling_delay_ms = (process.scheduling_delay_s * 1000.0) as u64,
        requests_waiting = process.requests_waiting,
        writes_in_doubt = process.indeterminate_writes,
        oldest_in_doubt_ms = process.oldest_indeterminate_write.as_millis() as u64,
        oldest_unanswered_s = process.oldest_unanswered_s as u64,
        connections = process.connections,
        connections_free = process.connections_free,
        "summary"
    );
}

fn running_tasks(cluster: &ClusterState) -> usize {
    let count_running = |worker: &Worker| {
        let attempts = worker.attempts.iter();
        attempts
            .filter(|attempt| attempt.occupies_capacity())
            .count()
    };
    cluster.workers.values().map(count_running).sum()
}

fn pending_tasks(cluster: &ClusterState) -> usize {
    let jobs = cluster.jobs.values();
    jobs.map(|job| job.pending.len() as usize + job.resumable.len())
        .sum()
}

/// Logs why the job that has waited longest for its start has not started.
fn log_oldest_pending_job(cluster: &ClusterState, now: f64) {
    let Some(job) = cluster.oldest_unstarted_job() else {
        return;
    };
    let waited_s = now - job.accepted_at;
    log_pending_job(cluster, job, waited_s, now, "oldest pending job");
}

/// Logs why the task that has waited longest for its retry is not placed.
fn log_oldest_waiting_retry(cluster: &ClusterState, now: f64) {
    if let Some(WaitingRetry { job, waited_s }) = cluster.oldest_waiting_retry(now) {
        log_pending_job(cluster, job, waited_s, now, "oldest waiting retry");
    }
}

fn log_pending_job(cluster: &ClusterState, job: &Job, waited_s: f64, now: f64, event: &str) {
    let Some(explanation) = cluster.explain_pending(&job.spec.id, now) else {
        return;
    };
    tracing::info!(
        job = job.spec.id,
        class = job.spec.class,
        team = job.spec.team,
        tasks = job.spec.tasks,
        cpus = job.spec.cpus,
        large = cluster.is_large(job),
        waited_s = waited_s as u64,
        within_guarantee = explanation.within_guarantee,
        reasons = ?explanation.reasons,
        "{event}"
    );
}

/// Logs the status of the cutoffs that operators declared or that are at risk.
fn log_cutoffs(cluster: &ClusterState, now: f64) {
    let cutoffs: Vec<String> = cluster
        .cutoff_statuses(now)
        .iter()
        .filter(|cutoff| cutoff.declared || is_at_risk(cutoff))
        .map(format_cutoff)
        .collect();
    if !cutoffs.is_empty() {
        tracing::info!(cutoffs = cutoffs.join(" "), "cutoff status");
    }
}

fn is_at_risk(cutoff: &CutoffStatus) -> bool {
    cutoff
        .forecast
        .as_ref()
        .is_some_and(|forecast| forecast.at_risk)
}

/// Formats a cutoff as `name:left/done/late/open/slack`:
///
/// - `left`: seconds until the cutoff
/// - `done`: number of jobs done
/// - `late`: number of these that were done late
/// - `open`: number of open jobs
/// - `slack`: forecast slack in seconds; absent, with its slash, if there is no forecast
///
/// A `!` at the end marks a cutoff at risk.
fn format_cutoff(cutoff: &CutoffStatus) -> String {
    let (name, left_s, open) = (&cutoff.name, cutoff.left_s, cutoff.open);
    let (done, late) = cutoff.done;
    let slack = cutoff.forecast.as_ref().map_or(String::new(), |forecast| {
        format!("/{:.0}", forecast.slack_s)
    });
    let risk_mark = if is_at_risk(cutoff) { "!" } else { "" };
    format!("{name}:{left_s:.0}/{done}/{late}/{open}{slack}{risk_mark}")
}

fn log_group_statuses(cluster: &ClusterState) {
    let (classes, teams) = fairness_summary::format_group_statuses(cluster);
    tracing::info!(classes, teams, "service counts");
}
