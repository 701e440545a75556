//! Tests of the cluster state and their shared helpers.

mod attempt_lifecycle;
mod attempt_limit;
mod avoided_machines;
mod batch_deadlines;
mod heartbeat_requests;
mod image_locality;
mod machine_reservations;
mod machine_types;
mod machines;
mod minimum_share;
mod pending_reasons;
mod placement_batches;
mod preemption;
mod reachability;
mod reconciliation;
mod recovery;
mod reference_model;
mod return_decisions;
mod start_deadline;
mod undelivered_start_records;
mod undelivered_starts;
mod worker_leases;

use crate::{mapping::TaskGroup, *};
use proptest::prelude::*;
use reference_model::*;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use tallygauge_protocol::{
    cloud::{Machine, MachineState, MachineType},
    users::{JobSpec, Priority, Shape},
    workers::{Command, EndCause, Heartbeat, TaskState, TaskStatus},
};

/// Term, and so fencing token, of the leader under test.
const TERM: u64 = 3;

fn config() -> Config {
    let team = |name: &str, cpus: f64| TeamConfig {
        name: name.into(),
        guaranteed_cpus: cpus,
        max_cpus: cpus * 3.0,
        guaranteed_gpus: 0.0,
        max_gpus: 0.0,
    };
    Config {
        teams: vec![team("red", 8.0), team("blue", 6.0)],
        heartbeat_interval_s: 2.0,
        lease_s: 20.0,
        cancel_timeout_s: 40.0,
        fencing_timeout_s: 17.0,
        list_lag_s: 4.0,
        clock_drift: 0.0005,
        min_remaining_s: 5.0,
        utility_by_priority: [1.0, 2.0, 8.0, 16.0],
        late_utility_factor: 0.1,
        idle_timeout_boot_times: 1.5,
        rental_horizon_boot_times: 1.0,
        class_deadline_s: HashMap::new(),
        objectives: HashMap::new(),
        minimum_share: MinimumShareConfig {
            share: 0.65,
            start_within_s: 240.0,
        },
        replica_spread: ReplicaSpread { risk_s: 30.0 },
        max_attempts_per_worker: 50,
        max_direct_messages: 100,
        term: TERM,
    }
}

fn machine_types() -> Vec<MachineType> {
    let machine_type = |name: &str, cpus: f64, fetch_rate: f64| MachineType {
        name: name.into(),
        cpus,
        gpus: 0.0,
        memory_gb: cpus * 4.0,
        cache_gb: 20.0,
        fetch_gb_per_s: fetch_rate,
        price: cpus / 10.0,
        spot_price: cpus / 25.0,
        boot_s: 30.0,
        zones: vec!["a".into(), "b".into()],
    };
    vec![
        machine_type("small", 4.0, 0.8),
        machine_type("large", 16.0, 0.3),
    ]
}

fn spec(number: usize, tasks: u32, cpus: f64) -> JobSpec {
    JobSpec {
        id: format!("req-{number}"),
        class: "w".into(),
        team: "red".into(),
        shape: Shape::Array,
        priority: Priority::Normal,
        tasks,
        cpus,
        gpus: 0.0,
        memory_gb: 1.0,
        image: "i0".into(),
        image_gb: 2.0,
        machine_types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: true,
        expected_s: 40.0,
        checkpoint_every_s: 10.0,
        checkpoint_s: 2.0,
        deadline_s: None,
    }
}

/// A heartbeat from a machine whose name determines what it is: a name that starts with
/// `l` is a large machine, one that ends with `b` is in zone `b`, and one that contains
/// `s` is a spot instance.
fn heartbeat_from(
    machine: &str,
    agent_incarnation: u64,
    sequence_number: u64,
    token: u64,
    tasks: Vec<TaskStatus>,
) -> Heartbeat {
    let is_large = machine.starts_with('l');
    Heartbeat {
        machine: machine.into(),
        endpoint: format!("{machine}:1"),
        machine_type: if is_large { "large" } else { "small" }.into(),
        zone: if machine.ends_with('b') { "b" } else { "a" }.into(),
        spot: machine.contains('s'),
        incarnation: agent_incarnation,
        sequence: sequence_number,
        token,
        spot_reclaim_in_s: None,
        tasks,
    }
}

fn task(name: &str, attempt: u64, state: TaskState, cause: Option<EndCause>) -> TaskStatus {
    TaskStatus {
        task: name.into(),
        attempt,
        state,
        cause,
        checkpointed: None,
    }
}

/// A cluster in which each of the machines has sent its first heartbeat.
fn cluster(machines: &[&str], now: f64) -> ClusterState {
    let mut cluster = ClusterState::new(config(), now, 16, 4096);
    cluster.set_machine_types(&machine_types());
    for machine in machines {
        assert_eq!(
            cluster.apply_heartbeat(
                now,
                &heartbeat_from(machine, 1, 1, TERM, vec![]),
                HeartbeatSource::Periodic
            ),
            HeartbeatOutcome::Applied
        );
    }
    cluster
}

/// Runs a scheduling round and makes its placements durable. Returns job id, task number
/// and worker of each placement, in the order of the attempt numbers.
fn round(cluster: &mut ClusterState, now: f64) -> Vec<(String, u32, String)> {
    cluster.run_round(now, true);
    let mut placements = Vec::new();
    for worker in cluster.workers.values() {
        for attempt in worker
            .attempts
            .iter()
            .filter(|attempt| attempt.phase == AttemptPhase::Planned)
        {
            placements.push((
                attempt.number,
                (attempt.spec.id.clone(), attempt.index, worker.name.clone()),
            ));
        }
    }
    placements.sort();
    for batch in cluster.take_placement_batches(4096, 60, 0.0) {
        cluster.record_batch_committed(&batch, now);
    }
    placements.into_iter().map(|numbered| numbered.1).collect()
}

/// Task name and attempt number of each start command that a worker is due.
fn start_commands(cluster: &ClusterState, worker: &str, now: f64) -> Vec<(String, u64)> {
    cluster
        .commands(worker, now)
        .into_iter()
        .filter_map(|command| match command {
            Command::Start { task, attempt } => Some((task, attempt)),
            _ => None,
        })
        .collect()
}

/// A placement batch of an earlier leader: the first task of `req-1` on worker `sa`.
fn earlier_leader_batch() -> PlacementBatchRecord {
    PlacementBatchRecord {
        placed_at: 0,
        first_attempt: 77,
        jobs: vec![PlacedJobRecord {
            id: "req-1".into(),
            team: "red".into(),
            resources: (1.5, 0.0, 1.0).into(),
        }],
        workers: vec![PlacedWorkerRecord {
            name: "sa".into(),
            endpoint: "sa:1".into(),
            machine_type: "small".into(),
            zone: "a".into(),
            spot: false,
            incarnation: 1,
            tasks: vec![(0, 0, 0, 0).into()],
        }],
    }
}

/// When the job of [`cluster_with_undelivered_start`] is cancelled.
const CANCELLED_AT: f64 = 101.0;

/// Records that a leader of an earlier version started all attempts on a machine in a direct message
/// that was given up, as the next leader finds it.
fn restore_undelivered_starts(c: &mut ClusterState, machine: &str) {
    let worker = c.workers.get_mut(machine).unwrap();
    for attempt in &mut worker.attempts {
        attempt.restored = true;
        attempt.start_sent = true;
    }
    let attempts = worker.attempts.iter().map(|attempt| attempt.number);
    let record = UndeliveredStartsRecord {
        attempts: attempts.collect(),
    };
    c.restore_undelivered_starts([("2-1".into(), record)].into());
}

/// A cluster in which `req-1/0` is placed on machine `sa`.
fn cluster_with_placed_task() -> ClusterState {
    let mut c = cluster(&["sa"], 100.0);
    c.add_job(spec(1, 1, 1.0), 1, 90.0, &RangeSet::default());
    assert_eq!(round(&mut c, 100.0).len(), 1);
    c
}

/// A cluster in which a leader of an earlier version sent the start of `req-1/0` to machine `sa`
/// directly, and gave the message up. The start may still arrive.
fn cluster_with_late_start_on_record() -> ClusterState {
    let mut c = cluster_with_placed_task();
    restore_undelivered_starts(&mut c, "sa");
    c
}

/// A cluster whose machine `sa` may still get the start of a cancelled task from a leader of an
/// earlier version.
fn cluster_with_undelivered_start() -> ClusterState {
    let mut c = cluster_with_late_start_on_record();
    c.remove_job("req-1", CANCELLED_AT);
    c
}

/// Sends a heartbeat that reports all attempts on a machine as running.
fn report_all_running(cluster: &mut ClusterState, machine: &str, sequence: u64, now: f64) {
    let attempts: Vec<TaskStatus> = cluster.workers[machine]
        .attempts
        .iter()
        .filter(|a| a.occupies_capacity())
        .map(|a| task(&a.task_name(), a.number, TaskState::Running, None))
        .collect();
    cluster.apply_heartbeat(
        now,
        &heartbeat_from(machine, 1, sequence, TERM, attempts),
        HeartbeatSource::Periodic,
    );
}

/// Sends a heartbeat that reports all attempts on a machine as ended.
fn report_all_ended(
    cluster: &mut ClusterState,
    machine: &str,
    sequence: u64,
    cause: EndCause,
    now: f64,
) {
    let attempts: Vec<TaskStatus> = cluster.workers[machine]
        .attempts
        .iter()
        .filter(|a| a.occupies_capacity())
        .map(|a| task(&a.task_name(), a.number, TaskState::Ended, Some(cause)))
        .collect();
    cluster.apply_heartbeat(
        now,
        &heartbeat_from(machine, 1, sequence, TERM, attempts),
        HeartbeatSource::Periodic,
    );
}

/// Records that the cloud has no large machines, of any kind.
fn record_no_large_machines(c: &mut ClusterState, now: f64) {
    for zone in ["a", "b"] {
        for spot in [true, false] {
            let kind = MachineKind {
                machine_type: "large".into(),
                zone: zone.into(),
                spot,
            };
            c.record_no_capacity(&kind, now);
        }
    }
}
