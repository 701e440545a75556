//! Batch deadlines, priority ranks and image locations across failovers: what the next
//! leader restores from the records of the one before.

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

/// The cutoffs that the leader evaluates; empty on a follower.
fn cutoffs(controller: &Controller) -> Vec<CutoffStatus> {
    let now = controller.now();
    controller
        .with_cluster(|cluster| cluster.cutoff_statuses(now))
        .unwrap_or_default()
}

/// Number and declared version of the priority rules in force, if there are any.
fn rank(controller: &Controller) -> Option<(u64, u64)> {
    let epoch = controller.with_cluster(|cluster| {
        cluster
            .priority_rules()
            .current()
            .map(|e| (e.number, e.declared_version))
    });
    epoch.flatten()
}

/// Waits until one of the controllers leads.
async fn leader(controllers: &[&Arc<Controller>]) -> Arc<Controller> {
    let mut found = None;
    assert!(
        eventually(60.0, async || {
            found = controllers
                .iter()
                .find(|n| is_active_leader(n))
                .map(|n| Arc::clone(n));
            found.is_some()
        })
        .await
    );
    found.unwrap()
}

#[tokio::test(start_paused = true)]
async fn new_leader_restores_cutoffs_and_priority_ranks() {
    let simulation = Simulation::new();
    tokio::spawn(simulation.clone().run_workers());
    let (controller_a, task_a) = simulation.start_controller_with("n-a", settings(2, 40));
    assert!(
        eventually(30.0, async || is_active_leader(&controller_a)
            && rank(&controller_a).is_some())
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
    let before = cutoffs(&controller_a);
    assert_eq!(
        (before.len(), before[0].done, before[0].open),
        (1, (1, 0), 2)
    );
    assert_eq!(rank(&controller_a), Some((1, 2)));
    // All controllers crash; the next has older settings, the one after it none.
    for (name, tuning) in [
        ("n-b", settings(1, 90)),
        ("n-c", OperatorSettings::default()),
    ] {
        for controller in ["n-a", "n-b"] {
            simulation.disconnect_controller(controller);
        }
        task_a.abort();
        let (controller, task) = simulation.start_controller_with(name, tuning);
        assert!(eventually(60.0, async || is_active_leader(&controller)).await);
        let after = cutoffs(&controller);
        assert_eq!(
            (after.len(), after[0].done, after[0].open),
            (1, (1, 0), 2),
            "{name}"
        );
        assert_eq!(after[0].name, before[0].name);
        assert_eq!(rank(&controller), Some((1, 2)), "{name}");
        sleep_s(HEARTBEAT_INTERVAL_S * 6.0).await;
        assert_eq!(
            rank(&controller),
            Some((1, 2)),
            "an older file sets nothing back"
        );
        simulation.crash_controller(name, &task);
    }
    // Newer settings do, once they are stored.
    let (controller_d, _task_d) = simulation.start_controller_with("n-d", settings(3, 10));
    assert!(
        eventually(60.0, async || is_active_leader(&controller_d)
            && rank(&controller_d) == Some((2, 3)))
        .await
    );
    simulation.assert_invariants();
}

// Ranks are stored before they apply: while they can't be stored they are not in force,
// and the leader leads all the same.
#[tokio::test(start_paused = true)]
async fn ranks_take_effect_only_once_stored() {
    let simulation = Simulation::new();
    tokio::spawn(simulation.clone().run_workers());
    // Later, the next leader finds records that can't be parsed.
    simulation.set_faults(|faults| faults.lose_next_responses = 0);
    let (controller_a, task_a) = simulation.start_controller_with("n-a", settings(5, 50));
    assert!(eventually(30.0, async || is_active_leader(&controller_a)).await);
    assert!(eventually(10.0, async || rank(&controller_a) == Some((1, 5))).await);
    simulation.crash_controller("n-a", &task_a);
    let (controller_b, task_b) = simulation.start_controller("n-b");
    assert!(eventually(30.0, async || is_active_leader(&controller_b)).await);
    simulation.crash_controller("n-b", &task_b);
    let torn = Transaction {
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
        .transact(RequestPriority::Placement, &torn)
        .await
        .unwrap();
    let (controller_c, _task_c) = simulation.start_controller_with("n-c", settings(5, 50));
    assert!(
        eventually(30.0, async || is_active_leader(&controller_c)).await,
        "no reason not to lead"
    );
    assert!(
        eventually(20.0, async || rank(&controller_c) == Some((1, 5))).await,
        "declared anew"
    );
    let id = submit_job(&simulation, &controller_c, 1, 2, 4.0, 3.0).await;
    assert!(
        eventually(60.0, async || query_status(&controller_c, &id).await
            == Some(JobStatus::Done))
        .await
    );
    simulation.assert_invariants();
}

#[tokio::test(start_paused = true)]
async fn record_of_newer_version_is_preserved_after_rollback() {
    let simulation = Simulation::new();
    tokio::spawn(simulation.clone().run_workers());
    let (controller_a, task_a) = simulation.start_controller("n-a");
    assert!(eventually(30.0, async || is_active_leader(&controller_a)).await);
    let later = Transaction {
        conditions: Vec::new(),
        writes: vec![Write::Set {
            key: "s/ledger".into(),
            value: serde_json::json!({"v": 99, "ranks": "in another form"}),
            lease: None,
        }],
    };
    controller_a
        .store
        .transact(RequestPriority::Placement, &later)
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
    assert_eq!(row.value["v"], 99, "a roll back and forth loses nothing");
}

#[tokio::test(start_paused = true)]
async fn new_leader_restores_image_locations() {
    let simulation = Simulation::new();
    tokio::spawn(simulation.clone().run_workers());
    let mut tuning = OperatorSettings::default();
    tuning.locality.min_recorded_fetch_s = 0.0;
    let (controller_a, task_a) = simulation.start_controller_with("n-a", tuning.clone());
    let (controller_b, _task_b) = simulation.start_controller_with("n-b", tuning);
    let first = leader(&[&controller_a, &controller_b]).await;
    let id = submit_job(&simulation, &first, 1, 2, 8.0, 3.0).await;
    assert!(
        eventually(60.0, async || query_status(&first, &id).await
            == Some(JobStatus::Done))
        .await
    );
    assert_eq!(count_starts(&simulation), 2);
    let cached_count = |controller: &Controller| {
        let count = controller.with_cluster(|cluster| {
            let holds =
                |w: &&tallygauge_scheduler::Worker| w.images.cached.iter().any(|i| i.0 == "i");
            cluster.workers.values().filter(holds).count()
        });
        count.unwrap_or(0)
    };
    let cached = cached_count(&first);
    assert!(cached > 0);
    // Longer than attempts stay recorded, shorter than machines are kept.
    sleep_s(HEARTBEAT_INTERVAL_S * 2.5).await;
    let (crashed, next) = if Arc::ptr_eq(&first, &controller_a) {
        ("n-a", &controller_b)
    } else {
        ("n-b", &controller_a)
    };
    let cached_before = cached_count(&first);
    if crashed == "n-a" {
        task_a.abort();
    }
    first.step_down("as a test");
    simulation.disconnect_controller(crashed);
    assert!(eventually(60.0, async || is_active_leader(next)).await);
    assert!(
        eventually(10.0, async || cached_count(next) == cached_before).await,
        "{} of {cached_before}",
        cached_count(next)
    );
}
