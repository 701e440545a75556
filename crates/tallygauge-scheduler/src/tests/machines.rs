//! Which machines are used for new tasks, rented, kept and returned.

use super::*;

#[test]
fn silent_machine_with_attempts_of_ended_job_is_kept_until_its_lease_expires() {
    // Guards against a new leader that returns all machines of a partitioned zone, with
    // the tasks that run there: batches still list attempts of jobs that have ended, and
    // nothing confirmed that those attempts had stopped.
    let mut c = cluster(&[], 100.0);
    c.restore_placements("2-7", &earlier_leader_batch(), 100.0, 0.0);
    let stop = c.workers["sa"].attempts[0].stop.map(|s| s.reason);
    assert_eq!(stop, Some(StopReason::Cancelled));
    c.apply_machine_list(&[listed(MachineState::Running)], 101.0, 101.0);
    let lease_expiry = c.lease_expiry(&c.workers["sa"]);
    assert!(
        lease_expiry < 100.0 + c.config.cancel_timeout_s,
        "the lease expires before the cancel timeout"
    );
    c.advance_time(lease_expiry - 0.1);
    assert_eq!(
        (
            c.workers["sa"].attempts.len(),
            c.workers["sa"].return_decisions.first()
        ),
        (1, None)
    );
    // Its start may still arrive at an agent that has restarted and knows no leader. So it holds
    // its quota until the machine has shown this leader's token, or is gone.
    c.advance_time(lease_expiry + 0.1);
    assert_eq!(
        (
            c.workers["sa"].attempts.len(),
            c.workers["sa"].return_decisions.first()
        ),
        (1, None)
    );
    assert_eq!(c.quota_usage[0].cpus, 1.5);
    let heartbeat = heartbeat_from("sa", 2, 9, TERM, vec![]);
    c.apply_heartbeat(lease_expiry + 1.0, &heartbeat, HeartbeatSource::Periodic);
    c.advance_time(lease_expiry + 1.0);
    assert_eq!(
        (
            c.workers["sa"].attempts.len(),
            c.workers["sa"].return_decisions.first()
        ),
        (0, None)
    );
    assert_eq!(c.quota_usage[0].cpus, 0.0);
    // A machine is returned if its heartbeats show that a cancelled attempt still runs.
    let mut c = cluster(&[], 100.0);
    c.restore_placements("2-7", &earlier_leader_batch(), 100.0, 0.0);
    for (seq, now) in [110.0, 120.0, 129.0].into_iter().enumerate() {
        let running_tasks = vec![task("req-1/0", 77, TaskState::Running, None)];
        let heartbeat = heartbeat_from("sa", 1, seq as u64 + 1, TERM, running_tasks);
        c.apply_heartbeat(now, &heartbeat, HeartbeatSource::Periodic);
        c.record_heartbeat_response("sa", &[], now);
        c.advance_time(now);
    }
    let return_reason = c.workers["sa"]
        .return_decisions
        .first()
        .map(|decision| decision.reason);
    assert_eq!(return_reason, Some(ReturnReason::CancelUnconfirmed));
}

/// Entry of the machine list for machine `sa`, which was rented 900 s ago.
fn listed(state: MachineState) -> Machine {
    Machine {
        name: "sa".into(),
        endpoint: "sa:1".into(),
        machine_type: "small".into(),
        zone: "a".into(),
        spot: false,
        state,
        age_s: 900.0,
    }
}

#[test]
fn new_leader_returns_machines_without_heartbeats_only_after_a_lease() {
    // Guards against returning old machines, with their tasks, as if they had never
    // booted, because the new leader has had no heartbeat from them yet.
    let mut c = cluster(&[], 100.0);
    let old = listed(MachineState::Booting);
    let reason = |c: &ClusterState| c.workers["sa"].return_decisions.first().map(|d| d.reason);
    c.apply_machine_list(std::slice::from_ref(&old), 100.5, 100.5);
    c.advance_time(101.0);
    assert_eq!(reason(&c), None);
    c.apply_machine_list(std::slice::from_ref(&old), 125.0, 125.0);
    c.advance_time(125.0);
    assert_eq!(reason(&c), Some(ReturnReason::BootTimeout));
    c.apply_heartbeat(
        126.0,
        &heartbeat_from("sa", 1, 1, TERM, vec![]),
        HeartbeatSource::Periodic,
    );
    assert_eq!(reason(&c), None, "a heartbeat revokes the decision");
}

#[test]
fn new_leader_keeps_running_machines_of_a_partitioned_zone() {
    // Guards against returning running machines of a partitioned zone, with their tasks,
    // as if they had never booted, a lease after a failover (seen with a hundred).
    let mut c = cluster(&[], 100.0);
    let running = listed(MachineState::Running);
    c.apply_machine_list(&[running], 101.0, 101.0);
    let reason = |c: &ClusterState| c.workers["sa"].return_decisions.first().map(|d| d.reason);
    for now in [125.0, 150.0, 175.0] {
        c.advance_time(now);
        assert_eq!(reason(&c), None, "at {now}");
    }
    // Meanwhile, other machines are rented for pending tasks.
    c.add_job(spec(1, 2, 1.0), 1, 150.0, &RangeSet::default());
    assert!(!c.rentals(150.0).is_empty());
    c.advance_time(182.0);
    assert_eq!(reason(&c), Some(ReturnReason::Silent));
}

#[test]
fn image_that_is_being_fetched_does_not_count_as_cached() {
    // Guards against placing a second task on a machine that has only begun to fetch
    // the image for the first one: the task waits there for most of the fetch, although
    // other machines have the image.
    let mut c = cluster(&["sa", "s2b"], 100.0);
    c.add_job(spec(1, 1, 1.0), 1, 90.0, &RangeSet::default());
    let first = round(&mut c, 100.0).remove(0).2;
    let (name, attempt) = start_commands(&c, &first, 100.0).remove(0);
    let running = task(&name, attempt, TaskState::Running, None);
    c.apply_heartbeat(
        103.0,
        &heartbeat_from(&first, 1, 5, TERM, vec![running]),
        HeartbeatSource::Periodic,
    );
    let other = if first == "sa" { "s2b" } else { "sa" };
    let job_spec = spec(1, 1, 1.0);
    let small_type = &machine_types()[0];
    let fetch_s = |c: &ClusterState, machine: &str, now| {
        c.workers[machine].images.fetch_s(
            &job_spec.image,
            job_spec.image_gb,
            small_type.fetch_gb_per_s,
            now,
        )
    };
    assert_eq!(fetch_s(&c, &first, 103.0), 0.0);
    assert_eq!(fetch_s(&c, other, 103.0), 2.5);
    let worker = c.workers.get_mut(other).unwrap();
    worker.images.request_for(&job_spec, small_type, 103.0);
    assert_eq!(fetch_s(&c, other, 104.0), 1.5, "the rest of the fetch");
    // The fetch is cancelled with the last task that needs the image.
    c.workers
        .get_mut(other)
        .unwrap()
        .images
        .cancel_unneeded_fetch(&job_spec.image, &[]);
    assert_eq!(fetch_s(&c, other, 104.0), 2.5);
}

#[test]
fn machines_registered_before_their_types_are_known_get_capacity_with_the_types() {
    // Guards against a controller that becomes leader before it has read the machine
    // types, sees no capacity on any machine, places nothing and returns the whole fleet
    // as idle.
    let mut c = ClusterState::new(config(), 100.0, 16, 4096);
    c.add_job(spec(1, 2, 1.5), 1, 90.0, &RangeSet::default());
    c.restore_placements("2-7", &earlier_leader_batch(), 100.0, 0.0);
    let running = task("req-1/0", 77, TaskState::Running, None);
    c.apply_heartbeat(
        101.0,
        &heartbeat_from("sa", 1, 4, TERM, vec![running]),
        HeartbeatSource::Periodic,
    );
    assert!(round(&mut c, 101.0).is_empty());
    c.set_machine_types(&machine_types());
    assert_eq!(c.workers["sa"].free_resources.cpus, 2.5);
    assert_eq!(round(&mut c, 101.0).len(), 1);
}

#[test]
fn machine_is_compared_with_other_machines_and_not_with_the_declared_run_time() {
    // Guards against returning a machine as slow because its tasks take three times the
    // run time that their owner declared, although it is as fast as other machines.
    let mut c = cluster(&["l1a", "l2b"], 100.0);
    c.add_job(spec(1, 40, 4.0), 1, 90.0, &RangeSet::default());
    c.config.teams[0].max_cpus = 100.0;
    let (mut now, mut seq) = (100.0, 10);
    for turn in 0..2 {
        round(&mut c, now);
        for (machine, run_time_s) in [("l1a", 120.0), ("l2b", 120.0 + 240.0 * f64::from(turn))] {
            let report_all_tasks = |c: &mut ClusterState, now: f64, seq: u64, are_done: bool| {
                let tasks = c.workers[machine]
                    .attempts
                    .iter()
                    .filter(|attempt| attempt.occupies_capacity())
                    .map(|attempt| match are_done {
                        true => task(
                            &attempt.task_name(),
                            attempt.number,
                            TaskState::Ended,
                            Some(EndCause::Done),
                        ),
                        false => task(
                            &attempt.task_name(),
                            attempt.number,
                            TaskState::Running,
                            None,
                        ),
                    })
                    .collect();
                c.apply_heartbeat(
                    now,
                    &heartbeat_from(machine, 1, seq, TERM, tasks),
                    HeartbeatSource::Periodic,
                );
            };
            seq += 2;
            report_all_tasks(&mut c, now, seq, false);
            report_all_tasks(&mut c, now + run_time_s, seq + 1, true);
        }
        now += 400.0;
        for machine in ["l1a", "l2b"] {
            seq += 2;
            c.apply_heartbeat(
                now,
                &heartbeat_from(machine, 1, seq, TERM, vec![]),
                HeartbeatSource::Periodic,
            );
        }
        c.advance_time(now);
        let is_slow = |machine: &str| {
            c.workers[machine]
                .return_decisions
                .first()
                .is_some_and(|decision| decision.reason == ReturnReason::Slow)
        };
        assert!(!is_slow("l1a"));
        assert_eq!(
            is_slow("l2b"),
            turn == 1,
            "three times as slow as the other"
        );
    }
}

#[test]
fn spot_notice_stops_checkpointing_attempts_and_lets_short_ones_finish() {
    let mut c = cluster(&["l1a"], 100.0);
    let mut without_checkpoints = spec(2, 1, 1.0);
    without_checkpoints.checkpoint_every_s = 0.0;
    let mut short = spec(3, 1, 1.0);
    short.expected_s = 6.0;
    for job_spec in [spec(1, 1, 1.0), without_checkpoints, short] {
        c.add_job(job_spec, 1, 90.0, &RangeSet::default());
    }
    round(&mut c, 100.0);
    let tasks: Vec<TaskStatus> = start_commands(&c, "l1a", 100.0)
        .into_iter()
        .map(|(name, attempt)| task(&name, attempt, TaskState::Running, None))
        .collect();
    assert_eq!(tasks.len(), 3);
    let mut heartbeat = heartbeat_from("l1a", 1, 5, TERM, tasks);
    c.apply_heartbeat(101.0, &heartbeat, HeartbeatSource::Periodic);
    heartbeat.sequence += 1;
    heartbeat.spot_reclaim_in_s = Some(20.0);
    c.apply_heartbeat(103.0, &heartbeat, HeartbeatSource::Periodic);
    c.advance_time(103.0);
    let commands = c.commands("l1a", 103.0);
    assert!(
        matches!(&commands[..], [Command::Stop { task, grace_s, .. }] if task == "req-1/0" && *grace_s >= 2.0),
        "{commands:?}"
    );
    // No new task is placed there, and other machines are rented.
    c.add_job(spec(4, 1, 1.0), 1, 103.0, &RangeSet::default());
    assert!(round(&mut c, 103.0).is_empty());
    assert!(!c.rentals(103.0).is_empty());
}

#[test]
fn machine_kind_without_capacity_is_replaced_by_another() {
    let mut c = cluster(&[], 100.0);
    c.add_job(spec(1, 4, 1.0), 1, 90.0, &RangeSet::default());
    let mut tried_kinds = Vec::new();
    for _ in 0..8 {
        let Some(rental) = c.rentals(100.0).into_iter().next() else {
            break;
        };
        assert!(
            !tried_kinds.contains(&rental.kind),
            "{:?} again",
            rental.kind
        );
        c.record_no_capacity(&rental.kind, 100.0);
        tried_kinds.push(rental.kind);
    }
    // Two types, two zones, spot or not; the cheapest first.
    assert_eq!(tried_kinds.len(), 8);
    assert!(tried_kinds[0].spot && tried_kinds[0].machine_type == "small");
    assert!(c.rentals(100.0).is_empty());
    assert!(!c.rentals(200.0).is_empty(), "requested again later");
}

#[test]
fn surplus_machines_are_returned_when_empty() {
    // Guards against keeping machines for the whole idle timeout, and half full for long
    // after it, when demand has fallen for good (seen with a thousand machines and
    // demand down to a third).
    let names: Vec<String> = (0..10).map(|n| format!("l{n}a")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut c = cluster(&names, 100.0);
    c.config.teams[0].max_cpus = 200.0;
    let (mut now, mut seq) = (100.0, 10);
    let mut send_heartbeats_until = |c: &mut ClusterState, until: f64| {
        while now < until {
            now += 1.0;
            seq += 1;
            for name in &names {
                if c.workers.contains_key(*name) {
                    c.apply_heartbeat(
                        now,
                        &heartbeat_from(name, 1, seq, TERM, vec![]),
                        HeartbeatSource::Periodic,
                    );
                }
            }
            c.mark_surplus_machines(now);
        }
        now
    };
    let surplus_count = |c: &ClusterState| c.workers.values().filter(|w| w.surplus).count();
    // The demand is 128 of 160 CPUs and has recently risen by 128 CPUs within a boot time.
    send_heartbeats_until(&mut c, 105.0);
    c.add_job(spec(1, 128, 1.0), 1, 105.0, &RangeSet::default());
    send_heartbeats_until(&mut c, 200.0);
    assert_eq!(surplus_count(&c), 0);
    // Some boot times later the rise no longer counts: two machines are not needed.
    let now = send_heartbeats_until(&mut c, 330.0);
    assert_eq!(surplus_count(&c), 2);
    // New tasks are placed elsewhere while there is capacity.
    let surplus_names: Vec<String> = c
        .workers
        .values()
        .filter(|w| w.surplus)
        .map(|w| w.name.clone())
        .collect();
    let placed = round(&mut c, now);
    assert_eq!(placed.len(), 128);
    assert!(placed.iter().all(|p| !surplus_names.contains(&p.2)));
    // Surplus machines are returned as soon as they are empty; the others stay.
    let due: Vec<String> = c
        .machines_to_return(now)
        .into_iter()
        .map(|machine| machine.name)
        .collect();
    assert_eq!(due, surplus_names);
    // New tasks use surplus machines again.
    let mut c = cluster(&names, 100.0);
    c.config.teams[0].max_cpus = 200.0;
    for w in c.workers.values_mut() {
        w.surplus = true;
    }
    c.add_job(spec(2, 20, 8.0), 1, now, &RangeSet::default());
    c.mark_surplus_machines(100.0 + 60.5);
    for (n, name) in names.iter().enumerate() {
        let heartbeat = heartbeat_from(name, 1, 900 + n as u64, TERM, vec![]);
        c.apply_heartbeat(161.0, &heartbeat, HeartbeatSource::Periodic);
    }
    c.mark_surplus_machines(161.0);
    assert_eq!(surplus_count(&c), 0);
    assert_eq!(round(&mut c, 161.0).len(), 20);
}

#[test]
fn small_machines_are_rented_to_free_large_ones_if_none_can_be_rented() {
    // Guards against large tasks that are pending for minutes because small tasks occupy
    // the large machines, while the cloud has only small machines to rent.
    let mut c = cluster(&["l1a", "s2b"], 100.0);
    c.config.teams[0].max_cpus = 200.0;
    c.add_job(spec(1, 20, 1.0), 1, 90.0, &RangeSet::default());
    assert_eq!(round(&mut c, 100.0).len(), 20);
    c.add_job(spec(2, 3, 12.0), 1, 95.0, &RangeSet::default());
    assert!(round(&mut c, 100.0).is_empty());
    // As long as large machines are available, those are rented.
    assert!(
        c.rentals(100.0)
            .iter()
            .all(|r| r.kind.machine_type == "large")
    );
    record_no_large_machines(&mut c, 100.0);
    let rentals = c.rentals(100.0);
    assert!(
        rentals.iter().all(|r| r.kind.machine_type == "small"),
        "{rentals:?}"
    );
    // As many are rented as the small tasks on the large machine need.
    let attempts = &c.workers["l1a"].attempts;
    let misplaced = attempts.len() as u32;
    let count: u32 = rentals.iter().map(|r| r.count).sum();
    assert_eq!(count, misplaced.div_ceil(4));
    // If both fit, small tasks are placed on small machines, and the large machine is
    // left to the large tasks that are pending.
    let mut c = cluster(&["l1a", "s2b", "s3b"], 100.0);
    c.workers
        .get_mut("l1a")
        .unwrap()
        .images
        .mark_used("i0", 2.0, 20.0);
    c.add_job(spec(2, 1, 16.5), 1, 95.0, &RangeSet::default());
    c.add_job(spec(3, 1, 6.0), 1, 95.0, &RangeSet::default());
    c.add_job(spec(1, 2, 1.0), 1, 90.0, &RangeSet::default());
    let placed = round(&mut c, 100.0);
    assert!(placed.iter().any(|p| p.0 == "req-3" && p.2 == "l1a"));
    assert!(
        placed.iter().all(|p| p.0 != "req-1" || p.2 != "l1a"),
        "{placed:?}"
    );
}
