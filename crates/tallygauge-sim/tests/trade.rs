//! Calendar, ranks and weights through controllers that fail.

use std::{sync::Arc, time::Duration};
use tallygauge::{controller::Controller, operator_settings::OperatorSettings};
use tallygauge_protocol::{
    state::{Transaction, Write},
    users::JobStatus,
};
use tallygauge_scheduler::CutoffStatus;
use tallygauge_sim::{
    HEARTBEAT_INTERVAL_S, Simulation, count_starts, eventually, is_active_leader, query_status,
    submit_until_accepted,
};
use tallygauge_store::RequestPriority;

/// Settings of operators: all jobs count for the end of the day, and team `t` has
/// a rank.
fn settings(version: u64, rank: u8) -> OperatorSettings {
    let text = format!(
        r#"<tallygauge><calendar version="{version}">
          <cutoff name="night" zone="UTC" days="daily" opens="00:00" at="23:59:59"/>
        </calendar><ledger version="{version}"><rank class="w" value="{rank}"/></ledger></tallygauge>"#
    );
    OperatorSettings::parse(&text).unwrap()
}

fn cutoffs(controller: &Controller) -> Vec<CutoffStatus> {
    let now = controller.now();
    controller
        .with_cluster(|c| c.cutoff_statuses(now))
        .unwrap_or_default()
}

fn rank(controller: &Controller) -> Option<(u64, u64)> {
    let epoch =
        controller.with_cluster(|c| c.priority_rules().current().map(|e| (e.number, e.declared)));
    epoch.flatten()
}

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
async fn a_replacement_knows_what_is_due_and_which_ranks_are_in_force() {
    let simulation = Simulation::new();
    tokio::spawn(simulation.clone().run_workers());
    let (a, task_a) = simulation.start_controller_with("n-a", settings(2, 40));
    assert!(eventually(30.0, async || is_active_leader(&a) && rank(&a).is_some()).await);
    let mut ids = Vec::new();
    for n in 1..=3 {
        let (id, body) = simulation.job(n, 1, 8.0, if n == 1 { 3.0 } else { 900.0 });
        submit_until_accepted(&a, &body).await;
        ids.push(id);
    }
    assert!(
        eventually(60.0, async || query_status(&a, &ids[0]).await
            == Some(JobStatus::Done))
        .await
    );
    tokio::time::sleep(Duration::from_secs_f64(HEARTBEAT_INTERVAL_S * 5.0)).await;
    let before = cutoffs(&a);
    assert_eq!(
        (before.len(), before[0].done, before[0].open),
        (1, (1, 0), 2)
    );
    assert_eq!(rank(&a), Some((1, 2)));
    // All go; the next has an older file, and the one after it none at all.
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
        tokio::time::sleep(Duration::from_secs_f64(HEARTBEAT_INTERVAL_S * 6.0)).await;
        assert_eq!(
            rank(&controller),
            Some((1, 2)),
            "an older file sets nothing back"
        );
        simulation.crash_controller(name, &task);
    }
    // A newer one does, once it is on record.
    let (d, _task_d) = simulation.start_controller_with("n-d", settings(3, 10));
    assert!(
        eventually(60.0, async || is_active_leader(&d)
            && rank(&d) == Some((2, 3)))
        .await
    );
    simulation.assert_rules();
}

// Ranks are ahead: while they can't be kept they are not in force, and the leader
// leads all the same.
#[tokio::test(start_paused = true)]
async fn ranks_are_in_force_when_they_are_on_record_and_not_before() {
    let simulation = Simulation::new();
    tokio::spawn(simulation.clone().run_workers());
    // The write is made, and its answer lost; then a torn record is found.
    simulation.state.lock().unwrap().lose_next_responses = 0;
    let (a, task_a) = simulation.start_controller_with("n-a", settings(5, 50));
    assert!(eventually(30.0, async || is_active_leader(&a)).await);
    assert!(eventually(10.0, async || rank(&a) == Some((1, 5))).await);
    simulation.crash_controller("n-a", &task_a);
    let (b, task_b) = simulation.start_controller("n-b");
    assert!(eventually(30.0, async || is_active_leader(&b)).await);
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
    b.store
        .transact(RequestPriority::Placement, &torn)
        .await
        .unwrap();
    let (c, _task_c) = simulation.start_controller_with("n-c", settings(5, 50));
    assert!(
        eventually(30.0, async || is_active_leader(&c)).await,
        "no reason not to lead"
    );
    assert!(
        eventually(20.0, async || rank(&c) == Some((1, 5))).await,
        "declared anew"
    );
    let (id, body) = simulation.job(1, 2, 4.0, 3.0);
    submit_until_accepted(&c, &body).await;
    assert!(
        eventually(60.0, async || query_status(&c, &id).await
            == Some(JobStatus::Done))
        .await
    );
    simulation.assert_rules();
}

#[tokio::test(start_paused = true)]
async fn a_record_of_a_later_program_is_left_alone_until_there_is_something_to_say() {
    let simulation = Simulation::new();
    tokio::spawn(simulation.clone().run_workers());
    let (a, task_a) = simulation.start_controller("n-a");
    assert!(eventually(30.0, async || is_active_leader(&a)).await);
    let later = Transaction {
        conditions: Vec::new(),
        writes: vec![Write::Set {
            key: "s/ledger".into(),
            value: serde_json::json!({"v": 99, "ranks": "in another form"}),
            lease: None,
        }],
    };
    a.store
        .transact(RequestPriority::Placement, &later)
        .await
        .unwrap();
    simulation.crash_controller("n-a", &task_a);
    let (b, _task_b) = simulation.start_controller("n-b");
    assert!(eventually(30.0, async || is_active_leader(&b)).await);
    tokio::time::sleep(Duration::from_secs(20)).await;
    let row = b
        .store
        .get(RequestPriority::Placement, "s/ledger")
        .await
        .unwrap()
        .unwrap();
    assert_eq!(row.value["v"], 99, "a roll back and forth loses nothing");
}

#[tokio::test(start_paused = true)]
async fn a_replacement_believes_what_the_leader_before_knew_of_images() {
    let simulation = Simulation::new();
    tokio::spawn(simulation.clone().run_workers());
    let mut tuning = OperatorSettings::default();
    tuning.locality.remember_from = 0.0;
    let (a, task_a) = simulation.start_controller_with("n-a", tuning.clone());
    let (b, _task_b) = simulation.start_controller_with("n-b", tuning);
    let first = leader(&[&a, &b]).await;
    let (id, body) = simulation.job(1, 2, 8.0, 3.0);
    submit_until_accepted(&first, &body).await;
    assert!(
        eventually(60.0, async || query_status(&first, &id).await
            == Some(JobStatus::Done))
        .await
    );
    assert_eq!(count_starts(&simulation), 2);
    let warm = |controller: &Controller| {
        let count = controller.with_cluster(|c| {
            let holds =
                |w: &&tallygauge_scheduler::Worker| w.images.cached.iter().any(|i| i.0 == "i");
            c.workers.values().filter(holds).count()
        });
        count.unwrap_or(0)
    };
    let before = warm(&first);
    assert!(before > 0);
    // Longer than machines' attempts are on record, shorter than they stay.
    tokio::time::sleep(Duration::from_secs_f64(HEARTBEAT_INTERVAL_S * 2.5)).await;
    let (gone, next) = if Arc::ptr_eq(&first, &a) {
        ("n-a", &b)
    } else {
        ("n-b", &a)
    };
    let kept = warm(&first);
    if gone == "n-a" {
        task_a.abort();
    }
    first.step_down("as a test");
    simulation.disconnect_controller(gone);
    assert!(eventually(60.0, async || is_active_leader(next)).await);
    assert!(
        eventually(10.0, async || warm(next) == kept).await,
        "{} of {kept}",
        warm(next)
    );
}
