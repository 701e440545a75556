//! Machines: which are usable, rented, kept and returned.

use super::*;

#[test]
fn unreachable_machines_with_attempts_of_closed_jobs_are_kept() {
    // Batches name jobs that are over until their last attempt is. A new leader
    // returned whole zones that were cut off, with all that ran there, since
    // nothing confirmed that those attempts had stopped.
    let mut c = cluster(&[], 100.0);
    c.restore_placements("2-7", &earlier_leader_batch(), 100.0, 0.0);
    let stop = c.workers["sa"].attempts[0].stop.map(|s| s.reason);
    assert_eq!(stop, Some(StopReason::Cancelled));
    c.apply_machine_list(&[listed(MachineState::Running)], 101.0, 101.0);
    let end = c.lease_expiry(&c.workers["sa"]);
    assert!(
        end < 100.0 + c.config.cancel_timeout_s,
        "its lease expires in time"
    );
    c.advance_time(end - 0.1);
    assert_eq!(
        (
            c.workers["sa"].attempts.len(),
            c.workers["sa"].return_decision
        ),
        (1, None)
    );
    c.advance_time(end + 0.1);
    assert_eq!(
        (
            c.workers["sa"].attempts.len(),
            c.workers["sa"].return_decision
        ),
        (0, None)
    );
    // One whose heartbeats show that they go on is returned.
    let mut c = cluster(&[], 100.0);
    c.restore_placements("2-7", &earlier_leader_batch(), 100.0, 0.0);
    for (seq, now) in [110.0, 120.0, 129.0].into_iter().enumerate() {
        let runs = vec![task("req-1/0", 77, TaskState::Running, None)];
        let told = heartbeat_from("sa", 1, seq as u64 + 1, TERM, runs);
        c.apply_heartbeat(now, &told, HeartbeatSource::Periodic);
        c.record_heartbeat_response("sa", &[], now);
        c.advance_time(now);
    }
    let leaving = c.workers["sa"].return_decision.map(|l| l.reason);
    assert_eq!(leaving, Some(ReturnReason::Unconfirmed));
}

/// Machine `sa`, rented long ago, as the machine list shows it.
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
fn new_leader_keeps_machines_without_heartbeats_until_a_lease_has_passed() {
    // Old machines without a heartbeat to the new leader were returned with their
    // tasks, as if they had never booted.
    let mut c = cluster(&[], 100.0);
    let old = listed(MachineState::Booting);
    let leaving = |c: &ClusterState| c.workers["sa"].return_decision.map(|l| l.reason);
    c.apply_machine_list(std::slice::from_ref(&old), 100.5, 100.5);
    c.advance_time(101.0);
    assert_eq!(leaving(&c), None);
    c.apply_machine_list(std::slice::from_ref(&old), 125.0, 125.0);
    c.advance_time(125.0);
    assert_eq!(leaving(&c), Some(ReturnReason::BootTimeout));
    c.apply_heartbeat(
        126.0,
        &heartbeat_from("sa", 1, 1, TERM, vec![]),
        HeartbeatSource::Periodic,
    );
    assert_eq!(leaving(&c), None, "it lives after all");
}

#[test]
fn new_leader_keeps_running_machines_of_a_partitioned_zone() {
    // A hundred running machines of a partitioned zone were returned with their tasks,
    // as if they had never booted, a lease after a failover.
    let mut c = cluster(&[], 100.0);
    let running = listed(MachineState::Running);
    c.apply_machine_list(&[running], 101.0, 101.0);
    let leaving = |c: &ClusterState| c.workers["sa"].return_decision.map(|l| l.reason);
    for now in [125.0, 150.0, 175.0] {
        c.advance_time(now);
        assert_eq!(leaving(&c), None, "at {now}");
    }
    // Others are rented meanwhile for pending tasks.
    c.add_job(spec(1, 2, 1.0), 1, 150.0, &RangeSet::default());
    assert!(!c.rentals(150.0).is_empty());
    c.advance_time(182.0);
    assert_eq!(leaving(&c), Some(ReturnReason::Silent));
}

#[test]
fn machine_that_fetches_an_image_does_not_count_as_having_it() {
    // A second task of the image went to wherever its first task was placed,
    // and waited there for most of the fetch beside machines that had it.
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
    let s = spec(1, 1, 1.0);
    let t = &machine_types()[0];
    let fetch = |c: &ClusterState, on: &str, now| {
        c.workers[on]
            .images
            .fetch_s(&s.image, s.image_gb, t.fetch_gb_per_s, now)
    };
    assert_eq!(fetch(&c, &first, 103.0), 0.0);
    assert_eq!(fetch(&c, other, 103.0), 2.5);
    let w = c.workers.get_mut(other).unwrap();
    w.images.request_for(&s, t, 103.0);
    assert_eq!(fetch(&c, other, 104.0), 1.5, "under way is not there");
    // The fetch is cancelled with the last task that needs the image.
    c.workers
        .get_mut(other)
        .unwrap()
        .images
        .cancel_unneeded_fetch(&s.image, &[]);
    assert_eq!(fetch(&c, other, 104.0), 2.5);
}

#[test]
fn machines_registered_before_their_types_get_their_capacity_later() {
    // A controller that became leader before it had read the catalogue saw no capacity
    // on any machine, placed nothing, and returned the whole fleet as idle.
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
fn machine_is_not_slow_because_of_a_low_run_time_estimate() {
    // Tasks that took three times what their owner said got the machine they
    // happened to run on returned. Against other machines it was as fast.
    let mut c = cluster(&["l1a", "l2b"], 100.0);
    c.add_job(spec(1, 40, 4.0), 1, 90.0, &RangeSet::default());
    c.config.teams[0].max_cpus = 100.0;
    let (mut now, mut seq) = (100.0, 10);
    for turn in 0..2 {
        round(&mut c, now);
        for (machine, takes) in [("l1a", 120.0), ("l2b", 120.0 + 240.0 * f64::from(turn))] {
            let report_all = |c: &mut ClusterState, now: f64, seq: u64, done: bool| {
                let tasks = c.workers[machine]
                    .attempts
                    .iter()
                    .filter(|h| h.occupies_capacity())
                    .map(|h| match done {
                        true => task(
                            &h.task_name(),
                            h.number,
                            TaskState::Ended,
                            Some(EndCause::Done),
                        ),
                        false => task(&h.task_name(), h.number, TaskState::Running, None),
                    })
                    .collect();
                c.apply_heartbeat(
                    now,
                    &heartbeat_from(machine, 1, seq, TERM, tasks),
                    HeartbeatSource::Periodic,
                );
            };
            seq += 2;
            report_all(&mut c, now, seq, false);
            report_all(&mut c, now + takes, seq + 1, true);
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
        let slow = |m: &str| {
            c.workers[m]
                .return_decision
                .is_some_and(|l| l.reason == ReturnReason::Slow)
        };
        assert!(!slow("l1a"));
        assert_eq!(slow("l2b"), turn == 1, "three times as slow as the other");
    }
}

#[test]
fn spot_notice_stops_checkpointing_attempts_and_lets_short_ones_finish() {
    let mut c = cluster(&["l1a"], 100.0);
    let mut never = spec(2, 1, 1.0);
    never.checkpoint_every_s = 0.0;
    let mut short = spec(3, 1, 1.0);
    short.expected_s = 6.0;
    for s in [spec(1, 1, 1.0), never, short] {
        c.add_job(s, 1, 90.0, &RangeSet::default());
    }
    round(&mut c, 100.0);
    let tasks: Vec<TaskStatus> = start_commands(&c, "l1a", 100.0)
        .into_iter()
        .map(|(name, attempt)| task(&name, attempt, TaskState::Running, None))
        .collect();
    assert_eq!(tasks.len(), 3);
    let mut told = heartbeat_from("l1a", 1, 5, TERM, tasks);
    c.apply_heartbeat(101.0, &told, HeartbeatSource::Periodic);
    told.sequence += 1;
    told.spot_notice_s = Some(20.0);
    c.apply_heartbeat(103.0, &told, HeartbeatSource::Periodic);
    c.advance_time(103.0);
    let commands = c.commands("l1a", 103.0);
    assert!(
        matches!(&commands[..], [Command::Stop { task, grace_s, .. }] if task == "req-1/0" && *grace_s >= 2.0),
        "{commands:?}"
    );
    // Nothing new is placed there, and other machines are rented.
    c.add_job(spec(4, 1, 1.0), 1, 103.0, &RangeSet::default());
    assert!(round(&mut c, 103.0).is_empty());
    assert!(!c.rentals(103.0).is_empty());
}

#[test]
fn machine_kind_without_capacity_is_replaced_by_another() {
    let mut c = cluster(&[], 100.0);
    c.add_job(spec(1, 4, 1.0), 1, 90.0, &RangeSet::default());
    let mut seen = Vec::new();
    for _ in 0..8 {
        let Some(rental) = c.rentals(100.0).into_iter().next() else {
            break;
        };
        assert!(!seen.contains(&rental.kind), "{:?} again", rental.kind);
        c.record_no_capacity(&rental.kind, 100.0);
        seen.push(rental.kind);
    }
    // Two types, two zones, spot or not; the cheapest first.
    assert_eq!(seen.len(), 8);
    assert!(seen[0].spot && seen[0].machine_type == "small");
    assert!(c.rentals(100.0).is_empty());
    assert!(!c.rentals(200.0).is_empty(), "asked again later");
}

#[test]
fn surplus_machines_are_returned_when_empty() {
    // A thousand machines were kept for the idle wait, and half full for long
    // after, when work had fallen to a third for good.
    let names: Vec<String> = (0..10).map(|n| format!("l{n}a")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut c = cluster(&names, 100.0);
    c.config.teams[0].max_cpus = 200.0;
    let (mut now, mut seq) = (100.0, 10);
    let mut turn = |c: &mut ClusterState, until: f64| {
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
    let surplus = |c: &ClusterState| c.workers.values().filter(|w| w.surplus).count();
    // 128 of 160 CPUs are wanted, and as many came within a boot not long ago.
    turn(&mut c, 105.0);
    c.add_job(spec(1, 128, 1.0), 1, 105.0, &RangeSet::default());
    turn(&mut c, 200.0);
    assert_eq!(surplus(&c), 0);
    // The rise is forgotten after some boots: two machines are more than needed.
    let now = turn(&mut c, 330.0);
    assert_eq!(surplus(&c), 2);
    // New tasks are placed elsewhere while there is capacity.
    let spare: Vec<String> = c
        .workers
        .values()
        .filter(|w| w.surplus)
        .map(|w| w.name.clone())
        .collect();
    let placed = round(&mut c, now);
    assert_eq!(placed.len(), 128);
    assert!(placed.iter().all(|p| !spare.contains(&p.2)));
    // They are returned as soon as they are empty; the others stay.
    let due: Vec<String> = c
        .machines_to_return(now)
        .into_iter()
        .map(|machine| machine.name)
        .collect();
    assert_eq!(due, spare);
    // New work uses them again.
    let mut c = cluster(&names, 100.0);
    c.config.teams[0].max_cpus = 200.0;
    for w in c.workers.values_mut() {
        w.surplus = true;
    }
    c.add_job(spec(2, 20, 8.0), 1, now, &RangeSet::default());
    c.mark_surplus_machines(100.0 + 60.5);
    for (n, name) in names.iter().enumerate() {
        let r = heartbeat_from(name, 1, 900 + n as u64, TERM, vec![]);
        c.apply_heartbeat(161.0, &r, HeartbeatSource::Periodic);
    }
    c.mark_surplus_machines(161.0);
    assert_eq!(surplus(&c), 0);
    assert_eq!(round(&mut c, 161.0).len(), 20);
}

#[test]
fn small_machines_are_rented_to_free_large_ones_without_capacity() {
    // Large tasks waited for minutes beside large machines full of small
    // tasks, with every small machine of the cloud still to be had.
    let mut c = cluster(&["l1a", "s2b"], 100.0);
    c.config.teams[0].max_cpus = 200.0;
    c.add_job(spec(1, 20, 1.0), 1, 90.0, &RangeSet::default());
    assert_eq!(round(&mut c, 100.0).len(), 20);
    c.add_job(spec(2, 3, 12.0), 1, 95.0, &RangeSet::default());
    assert!(round(&mut c, 100.0).is_empty());
    // While large machines can be had, those are asked for.
    assert!(
        c.rentals(100.0)
            .iter()
            .all(|r| r.kind.machine_type == "large")
    );
    for zone in ["a", "b"] {
        for spot in [true, false] {
            let kind = MachineKind {
                machine_type: "large".into(),
                zone: zone.into(),
                spot,
            };
            c.record_no_capacity(&kind, 100.0);
        }
    }
    let rentals = c.rentals(100.0);
    assert!(
        rentals.iter().all(|r| r.kind.machine_type == "small"),
        "{rentals:?}"
    );
    // As many as the small tasks on the large machine need.
    let there = &c.workers["l1a"].attempts;
    let misplaced = there.len() as u32;
    let count: u32 = rentals.iter().map(|r| r.count).sum();
    assert_eq!(count, misplaced.div_ceil(4));
    // With a choice, small tasks leave the large machine to those that wait.
    let mut c = cluster(&["l1a", "s2b", "s3b"], 100.0);
    c.workers
        .get_mut("l1a")
        .unwrap()
        .images
        .mark_used("i0", 2.0, 20.0);
    c.add_job(spec(2, 1, 16.5), 1, 95.0, &RangeSet::default());
    c.add_job(spec(3, 1, 6.0), 1, 95.0, &RangeSet::default());
    c.add_job(spec(1, 2, 1.0), 1, 90.0, &RangeSet::default());
    let on = round(&mut c, 100.0);
    assert!(on.iter().any(|p| p.0 == "req-3" && p.2 == "l1a"));
    assert!(on.iter().all(|p| p.0 != "req-1" || p.2 != "l1a"), "{on:?}");
}
