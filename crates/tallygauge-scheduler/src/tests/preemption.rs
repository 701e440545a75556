//! Tests of preemption and of placement constraints.

use super::*;

/// Preemption stops the running attempt with the lowest utility per time, once, and the
/// new task starts only after the stop is confirmed.
#[test]
fn preemption_stops_lowest_upt_and_waits_for_its_end() {
    let mut cluster = cluster(&["sa"], 100.0);
    let mut low = spec(1, 2, 2.0);
    low.priority = Priority::Low;
    cluster.add_job(low, 1, 90.0, &RangeSet::default());
    assert_eq!(round(&mut cluster, 100.0).len(), 2);
    let started: Vec<(String, u64)> = start_commands(&cluster, "sa", 100.0);
    let running_report = |seq| {
        let tasks = started
            .iter()
            .map(|start| task(&start.0, start.1, TaskState::Running, None))
            .collect();
        heartbeat_from("sa", 1, seq, TERM, tasks)
    };
    cluster.apply_heartbeat(101.0, &running_report(5), HeartbeatSource::Periodic);
    // Task 0 is almost done and so has the higher utility per time.
    for attempt in &mut cluster.workers.get_mut("sa").unwrap().attempts {
        attempt.running_since = Some(if attempt.index == 0 { 66.0 } else { 99.0 });
    }
    let mut high = spec(2, 1, 2.0);
    high.priority = Priority::High;
    cluster.add_job(high, 1, 101.0, &RangeSet::default());
    assert!(
        round(&mut cluster, 101.0).is_empty(),
        "nothing is free before the stop is confirmed"
    );
    let stops: Vec<Command> = cluster.commands("sa", 101.0);
    assert!(
        matches!(&stops[..], [Command::Stop { task, grace_s, .. }] if task == "req-1/1" && *grace_s >= 2.0),
        "{stops:?}"
    );
    // The next round counts the resources that are being freed and preempts nothing more.
    round(&mut cluster, 101.5);
    assert_eq!(
        cluster.workers["sa"]
            .attempts
            .iter()
            .filter(|attempt| attempt.stop.is_some())
            .count(),
        1
    );
    let mut ended_report = running_report(6);
    for status in &mut ended_report.tasks {
        if status.task == "req-1/1" {
            (status.state, status.cause, status.checkpointed) =
                (TaskState::Ended, Some(EndCause::Halted), Some(true));
        }
    }
    cluster.apply_heartbeat(103.0, &ended_report, HeartbeatSource::Periodic);
    assert_eq!(
        round(&mut cluster, 103.0),
        vec![("req-2".to_string(), 0, "sa".to_string())]
    );
    assert!(
        cluster.jobs["req-1"].resumable[&1].checkpointed_s > 3.0,
        "the checkpoint of the preempted task is kept"
    );
}

/// A task that runs for longer than expected must not keep the utility per time of one
/// that is almost done, or it could never be preempted.
#[test]
fn overrun_task_loses_utility_per_time() {
    let mut cluster = cluster(&["sa"], 100.0);
    cluster.add_job(spec(1, 1, 2.0), 1, 90.0, &RangeSet::default());
    round(&mut cluster, 100.0);
    let attempt = &mut cluster.workers.get_mut("sa").unwrap().attempts[0];
    attempt.running_since = Some(100.0);
    let attempt = attempt.clone();
    let almost_done = cluster.running_upt(&attempt, 138.0);
    assert!(
        cluster.running_upt(&attempt, 160.0) < almost_done,
        "expected to run for 40 s, has run for 60 s"
    );
    assert!(cluster.running_upt(&attempt, 400.0) < cluster.running_upt(&attempt, 160.0));
}

/// A round must place no task against its job's constraints: all tasks in one zone, at
/// most half of them in a zone, no spot instances.
#[test]
fn zone_and_spot_constraints_are_respected() {
    let mut cluster = cluster(&["sa", "s2b", "ss3b"], 100.0);
    let mut one_zone = spec(1, 3, 3.0);
    one_zone.one_zone = true;
    let mut spread = spec(2, 4, 0.5);
    spread.spread = true;
    let mut on_demand_in_b = spec(3, 1, 0.5);
    (on_demand_in_b.spot, on_demand_in_b.zone) = (false, Some("b".into()));
    for spec in [one_zone, spread, on_demand_in_b] {
        cluster.add_job(spec, 1, 90.0, &RangeSet::default());
    }
    let placed = round(&mut cluster, 100.0);
    let zones_of = |id: &str| -> Vec<char> {
        placed
            .iter()
            .filter(|placement| placement.0 == id)
            .filter_map(|placement| placement.2.chars().last())
            .collect()
    };
    let zones_of_first = zones_of("req-1");
    assert!(
        !zones_of_first.is_empty() && zones_of_first.iter().all(|zone| *zone == zones_of_first[0]),
        "{zones_of_first:?}"
    );
    assert_eq!(
        zones_of("req-2")
            .iter()
            .filter(|zone| **zone == 'a')
            .count(),
        2
    );
    // All machines have an `s` in their names, so all are spot instances.
    assert!(zones_of("req-3").is_empty());
}

/// Regression: attempts were preempted for every pending task of a job, including those
/// that the team's quota did not allow to start.
#[test]
fn preemption_for_one_job_stays_within_team_limit() {
    let mut cluster = cluster(&["l1a", "l2b"], 100.0);
    cluster.config.teams[1].max_cpus = 4.0;
    let mut low = spec(1, 16, 2.0);
    low.priority = Priority::Low;
    cluster.config.teams[0].max_cpus = 100.0;
    cluster.add_job(low, 1, 90.0, &RangeSet::default());
    assert_eq!(round(&mut cluster, 100.0).len(), 16);
    for (seq, machine) in ["l1a", "l2b"].into_iter().enumerate() {
        let running = start_commands(&cluster, machine, 100.0);
        let running = running
            .iter()
            .map(|start| task(&start.0, start.1, TaskState::Running, None))
            .collect();
        cluster.apply_heartbeat(
            101.0,
            &heartbeat_from(machine, 1, 5 + seq as u64, TERM, running),
            HeartbeatSource::Periodic,
        );
    }
    let mut high = spec(2, 30, 1.0);
    (high.priority, high.team) = (Priority::High, "blue".into());
    cluster.add_job(high, 1, 101.0, &RangeSet::default());
    round(&mut cluster, 102.0);
    let stop_count = |cluster: &ClusterState| {
        let attempts = cluster.workers.values().flat_map(|w| &w.attempts);
        attempts.filter(|attempt| attempt.stop.is_some()).count()
    };
    assert_eq!(
        stop_count(&cluster),
        2,
        "the team may use 4 CPUs, which two running tasks of 2 CPUs hold"
    );
    round(&mut cluster, 102.5);
    assert_eq!(
        stop_count(&cluster),
        2,
        "the next round preempts nothing more while resources are being freed"
    );
}
