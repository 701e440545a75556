//! What a leader logs now and then: how much there is of everything.

use crate::{controller::Controller, fairness_summary};
use std::time::Duration;
use tallygauge_scheduler::ClusterState;

/// Report intervals between two summaries.
const EVERY: f64 = 4.0;

/// Logs a summary now and then, as long as this node leads, whatever else waits.
pub async fn run(controller: &Controller) {
    let report = controller.settings.deployment.workers.heartbeat_interval_s;
    let pause = Duration::from_secs_f64(report * EVERY);
    loop {
        tokio::time::sleep(pause).await;
        let longest_round_s = controller.load.take_longest_round_s();
        summarize(controller, longest_round_s);
    }
}

fn summarize(controller: &Controller, longest_round_s: f64) {
    let backlog = controller.store.budget().waiting();
    let lag = controller.load.scheduling_delay_s();
    let (now, memory_s) = (controller.now(), controller.caller_expiry_s());
    let unanswered_s = controller
        .pending_callers
        .longest_wait_s(now, memory_s)
        .unwrap_or(0.0);
    let (writes_in_doubt, in_doubt) = controller.store.in_doubt_writes();
    let (sockets, sockets_free) = (
        controller.connection_limits.used(),
        controller.connection_limits.free(),
    );
    controller.with_cluster(|c| {
        let held = |w: &tallygauge_scheduler::Worker| {
            w.attempts.iter().filter(|h| h.occupies_capacity()).count()
        };
        let running: usize = c.workers.values().map(held).sum();
        let waiting: usize = c
            .jobs
            .values()
            .map(|j| j.pending.len() as usize + j.resumable.len())
            .sum();
        let up = c.workers.values().filter(|w| w.is_up()).count();
        let [starting, fetching, busy, free] = c.cpu_usage();
        let (to_begin, not_begun_s) = c.unstarted_summary(now);
        tracing::info!(
            jobs = c.jobs.len(),
            running,
            waiting,
            machines = c.workers.len(),
            up,
            cpus_starting = starting,
            cpus_fetching = fetching,
            cpus_running = busy,
            cpus_free = free,
            to_begin,
            not_begun_s = not_begun_s as u64,
            round_ms = (longest_round_s * 1000.0) as u64,
            lag_ms = (lag * 1000.0) as u64,
            writes_waiting = backlog,
            writes_in_doubt,
            in_doubt_ms = in_doubt.as_millis() as u64,
            unanswered_s = unanswered_s as u64,
            sockets,
            sockets_free,
            "summary"
        );
        explain_longest_wait(c, now);
        let cutoffs = shown_cutoffs(c, now);
        if !cutoffs.is_empty() {
            tracing::info!(cutoffs, "calendar");
        }
        let (classes, teams) = fairness_summary::format_group_statuses(c);
        tracing::info!(classes, teams, "served");
    });
}

/// Logs why the job that has waited longest has not begun: what is missing.
fn explain_longest_wait(cluster: &ClusterState, now: f64) {
    let Some((job, large)) = cluster.oldest_unstarted_job() else {
        return;
    };
    let waited_s = (now - job.accepted_at) as u64;
    let Some(why) = cluster.explain_pending(&job.spec.id, now) else {
        return;
    };
    tracing::info!(
        job = job.spec.id,
        class = job.spec.class,
        team = job.spec.team,
        tasks = job.spec.tasks,
        cpus = job.spec.cpus,
        large,
        waited_s,
        within_guarantee = why.within_guarantee,
        reasons = ?why.reasons,
        "waits longest"
    );
}

/// Cutoffs that operators declared or that are at risk in one field: seconds
/// until each, jobs done, of these too late, open; slack in seconds, `!` when at
/// risk.
fn shown_cutoffs(c: &ClusterState, now: f64) -> String {
    let mut out = Vec::new();
    for cutoff in c.cutoff_statuses(now) {
        let risk = cutoff.forecast.is_some_and(|v| v.at_risk);
        if !cutoff.declared && !risk {
            continue;
        }
        let (left_s, (done, late), open) = (cutoff.left_s, cutoff.done, cutoff.open);
        let slack = cutoff
            .forecast
            .map_or(String::new(), |v| format!("/{:.0}", v.slack_s));
        let mark = if risk { "!" } else { "" };
        out.push(format!(
            "{}:{left_s:.0}/{done}/{late}/{open}{slack}{mark}",
            cutoff.name
        ));
    }
    out.join(" ")
}
