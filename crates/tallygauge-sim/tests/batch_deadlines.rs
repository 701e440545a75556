//! Batch deadlines, priority ranks and image locations across failovers: what the next
//! leader restores from the records of the previous one.

#![allow(
    clippy::unwrap_used,
    reason = "a test ends on a value that it does not expect"
)]

use std::sync::Arc;
use tallygauge::{controller::Controller, operator_settings::OperatorSettings};
use tallygauge_protocol::{
    state::{Transaction, Write},
    users::JobStatus,
};
use tallygauge_scheduler::CutoffStatus;
use tallygauge_sim::{
    HEARTBEAT_INTERVAL_S, Simulation, count_starts, eventually, is_active_leader, query_status,
    sleep_s, submit_job,
};
use tallygauge_store::RequestPriority;

/// Operator settings with one daily cutoff for all jobs and a priority rank for class `w`.
fn settings(version: u64, rank: u8) -> OperatorSettings {
    let text = format!(
        r#"<tallygauge><calendar version="{version}">
          <cutoff name="night" zone="UTC" days="daily" opens="00:00" at="23:59:59"/>
        </calendar><ledger version="{version}"><rank class="w" value="{rank}"/></ledger></tallygauge>"#
    );
    OperatorSettings::parse(&text).unwrap()
}

/// Statuses of the cutoffs that a leader evaluates; empty on a follower.
fn cutoff_statuses(controller: &Controller) -> Vec<CutoffStatus> {
    let now = controller.now();
    controller
        .with_cluster(|cluster| cluster.cutoff_statuses(now))
        .unwrap_or_default()
}

/// Revision number and declared version of the priority rules in force, if there are any.
fn priority_rules_in_force(controller: &Controller) -> Option<(u64, u64)> {
    let revision = controller.with_cluster(|cluster| {
        cluster
            .priority_rules()
            .current()
            .map(|revision| (revision.number, revision.declared_version))
    });
    revision.flatten()
}

/// Waits until one of the controllers leads, and returns it.
async fn wait_for_leader(controllers: &[&Arc<Controller>]) -> Arc<Controller> {
    let mut leader = None;
    assert!(
        eventually(60.0, async || {
            leader = controllers
                .iter()
                .find(|controller| is_active_leader(controller))
                .map(|controller| Arc::clone(controller));
            leader.is_some()
        })
        .await
    );
    leader.unwrap()
}

// All controllers crash, and the next ones have older settings or none. A leader that took
// its own settings instead of the stored records would lose the cutoffs, their counts of
// jobs and the ranks.
#[tokio::test(start_paused = true)]
async fn new_leader_restores_cutoffs_and_priority_ranks() {
    let simulation = Simulation::new();
    tokio::spawn(simulation.clone().run_workers());
    let (controller_a, task_a) = simulation.start_controller_with("n-a", settings(2, 40));
    assert!(
        eventually(30.0, async || is_active_leader(&controller_a)
            && priority_rules_in_force(&controller_a).is_some())
        .await
    );
    let mut ids = Vec::new();
    for n in 1..=3 {
        let id = submit_job(
            &simulation,
            &controller_a,
            n,
            1,
            8.0,
            if n == 1 { 3.0 } else { 900.0 },
        )
        .await;
        ids.push(id);
    }
    assert!(
        eventually(60.0, async || query_status(&controller_a, &ids[0]).await
            == Some(JobStatus::Done))
        .await
    );
    sleep_s(HEARTBEAT_INTERVAL_S * 5.0).await;
    let before = cutoff_statuses(&controller_a);
    assert_eq!(
        (before.len(), before[0].done, before[0].open),
        (1, (1, 0), 2)
    );
    assert_eq!(priority_rules_in_force(&controller_a), Some((1, 2)));
    // The next controller has older settings, the one after it has none.
    for (name, operator_settings) in [
        ("n-b", settings(1, 90)),
        ("n-c", OperatorSettings::default()),
    ] {
        for controller in ["n-a", "n-b"] {
            simulation.disconnect_controller(controller);
        }
        task_a.abort();
        let (controller, task) = simulation.start_controller_with(name, operator_settings);
        assert!(eventually(60.0, async || is_active_leader(&controller)).await);
        let after = cutoff_statuses(&controller);
        assert_eq!(
            (after.len(), after[0].done, after[0].open),
            (1, (1, 0), 2),
            "{name}"
        );
        assert_eq!(after[0].name, before[0].name);
        assert_eq!(priority_rules_in_force(&controller), Some((1, 2)), "{name}");
        sleep_s(HEARTBEAT_INTERVAL_S * 6.0).await;
        assert_eq!(
            priority_rules_in_force(&controller),
            Some((1, 2)),
            "older settings replaced the rules in force"
        );
        simulation.crash_controller(name, &task);
    }
    // Newer settings replace the rules in force, once they are stored.
    let (controller_d, _task_d) = simulation.start_controller_with("n-d", settings(3, 10));
    assert!(
        eventually(60.0, async || is_active_leader(&controller_d)
            && priority_rules_in_force(&controller_d) == Some((2, 3)))
        .await
    );
    simulation.assert_invariants();
}

/// Number of times that a record of priority rules was written.
fn priority_rules_written(simulation: &Simulation) -> usize {
    simulation.count_changes("s/ledger")
}

// Ranks are stored before they apply: while they can't be stored they are not in force.
// This must not keep a controller from leading, nor must records that can't be parsed.
#[tokio::test(start_paused = true)]
async fn ranks_take_effect_only_once_stored() {
    let simulation = Simulation::new();
    tokio::spawn(simulation.clone().run_workers());
    let earlier = priority_rules_written(&simulation);
    simulation.set_faults(|faults| faults.hang_writes_with_prefix = Some("s/ledger"));
    let (controller_a, task_a) = simulation.start_controller_with("n-a", settings(5, 50));
    assert!(eventually(30.0, async || is_active_leader(&controller_a)).await);
    sleep_s(HEARTBEAT_INTERVAL_S * 10.0).await;
    assert_eq!(priority_rules_written(&simulation), earlier);
    assert!(
        is_active_leader(&controller_a),
        "unstored ranks ended the term"
    );
    assert_ne!(
        priority_rules_in_force(&controller_a),
        Some((1, 5)),
        "the ranks are in force before they are stored"
    );
    simulation.set_faults(|faults| faults.hang_writes_with_prefix = None);
    assert!(
        eventually(10.0, async || priority_rules_in_force(&controller_a)
            == Some((1, 5)))
        .await
    );
    assert!(priority_rules_written(&simulation) > earlier);
    simulation.crash_controller("n-a", &task_a);
    let (controller_b, task_b) = simulation.start_controller("n-b");
    assert!(eventually(30.0, async || is_active_leader(&controller_b)).await);
    simulation.crash_controller("n-b", &task_b);
    // The third leader finds records that can't be parsed.
    let unreadable = Transaction {
        conditions: Vec::new(),
        writes: ["s/ledger", "s/calendar", "s/images/0", "s/floor"]
            .into_iter()
            .map(|key| Write::Set {
                key: key.into(),
                value: serde_json::json!({"v": 1, "e": "torn", "o": 7, "i": [3], "c": 1}),
                lease: None,
            })
            .collect(),
    };
    controller_b
        .store
        .transact(RequestPriority::Placement, &unreadable)
        .await
        .unwrap();
    let (controller_c, _task_c) = simulation.start_controller_with("n-c", settings(5, 50));
    assert!(
        eventually(30.0, async || is_active_leader(&controller_c)).await,
        "records that can't be parsed keep the controller from leading"
    );
    assert!(
        eventually(20.0, async || priority_rules_in_force(&controller_c)
            == Some((1, 5)))
        .await,
        "the ranks are not declared again"
    );
    let id = submit_job(&simulation, &controller_c, 1, 2, 4.0, 3.0).await;
    assert!(
        eventually(60.0, async || query_status(&controller_c, &id).await
            == Some(JobStatus::Done))
        .await
    );
    simulation.assert_invariants();
}

// A record was written by a newer release, and an older release leads after a rollback. If
// it overwrote the record, the newer release would find its data lost.
#[tokio::test(start_paused = true)]
async fn record_of_newer_version_is_preserved_after_rollback() {
    let simulation = Simulation::new();
    tokio::spawn(simulation.clone().run_workers());
    let (controller_a, task_a) = simulation.start_controller("n-a");
    assert!(eventually(30.0, async || is_active_leader(&controller_a)).await);
    let newer_record = Transaction {
        conditions: Vec::new(),
        writes: vec![Write::Set {
            key: "s/ledger".into(),
            value: serde_json::json!({"v": 99, "ranks": "in another form"}),
            lease: None,
        }],
    };
    controller_a
        .store
        .transact(RequestPriority::Placement, &newer_record)
        .await
        .unwrap();
    simulation.crash_controller("n-a", &task_a);
    let (controller_b, _task_b) = simulation.start_controller("n-b");
    assert!(eventually(30.0, async || is_active_leader(&controller_b)).await);
    sleep_s(20.0).await;
    let row = controller_b
        .store
        .get(RequestPriority::Placement, "s/ledger")
        .await
        .unwrap()
        .unwrap();
    assert_eq!(
        row.value["v"], 99,
        "the older release has overwritten the record"
    );
}

// The leader steps down and is disconnected. A next leader that did not restore the image
// locations would place tasks on machines that have to pull their images again.
#[tokio::test(start_paused = true)]
async fn new_leader_restores_image_locations() {
    let simulation = Simulation::new();
    tokio::spawn(simulation.clone().run_workers());
    let mut operator_settings = OperatorSettings::default();
    operator_settings.locality.min_recorded_fetch_s = 0.0;
    let (controller_a, task_a) = simulation.start_controller_with("n-a", operator_settings.clone());
    let (controller_b, _task_b) = simulation.start_controller_with("n-b", operator_settings);
    let first_leader = wait_for_leader(&[&controller_a, &controller_b]).await;
    let id = submit_job(&simulation, &first_leader, 1, 2, 8.0, 3.0).await;
    assert!(
        eventually(60.0, async || query_status(&first_leader, &id).await
            == Some(JobStatus::Done))
        .await
    );
    assert_eq!(count_starts(&simulation), 2);
    let cached_count = |controller: &Controller| {
        let count = controller.with_cluster(|cluster| {
            let has_image =
                |w: &&tallygauge_scheduler::Worker| w.images.cached.iter().any(|i| i.name == "i");
            cluster.workers.values().filter(has_image).count()
        });
        count.unwrap_or(0)
    };
    let cached = cached_count(&first_leader);
    assert!(cached > 0);
    // This is longer than attempts stay recorded and shorter than machines are kept.
    sleep_s(HEARTBEAT_INTERVAL_S * 2.5).await;
    let (disconnected, next_leader) = if Arc::ptr_eq(&first_leader, &controller_a) {
        ("n-a", &controller_b)
    } else {
        ("n-b", &controller_a)
    };
    let cached_before = cached_count(&first_leader);
    if disconnected == "n-a" {
        task_a.abort();
    }
    first_leader.step_down("requested by the test");
    simulation.disconnect_controller(disconnected);
    assert!(eventually(60.0, async || is_active_leader(next_leader)).await);
    assert!(
        eventually(10.0, async || cached_count(next_leader) == cached_before).await,
        "{} of {cached_before} machines with the image are known",
        cached_count(next_leader)
    );
}
