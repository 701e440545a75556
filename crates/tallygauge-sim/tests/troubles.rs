//! The troubles that operators added: deaf machines, late copies, workers and
//! controllers back at once, a controller apart, users that are never answered.

use std::time::Duration;
use tallygauge::{reconciliation, user_api, worker_api::has_recent_heartbeats};
use tallygauge_protocol::users::JobStatus;
use tallygauge_sim::{
    CANCEL_TIMEOUT_S, HEARTBEAT_INTERVAL_S, LEASE_S, Simulation, To, accepted, ask, eventually,
    leads, start_with_leader, started, status_of,
};

#[tokio::test(start_paused = true)]
async fn work_leaves_a_deaf_machine_and_does_not_come_back_to_it() {
    let (world, a, _task) = start_with_leader().await;
    let (id, body) = world.job(1, 2, 8.0, 20.0);
    accepted(&a, &body).await;
    assert!(eventually(60.0, async || started(&world) == 2).await);
    let deaf = world.state.lock().unwrap().starts[0].2.clone();
    world.set_inbound_blocked(&deaf, true);
    // Its task dies with its lease, and runs elsewhere.
    assert!(eventually(120.0, async || ask(&a, &id).await == Some(JobStatus::Done)).await);
    let (_, more) = world.job(2, 6, 8.0, 5.0);
    let before = started(&world);
    accepted(&a, &more).await;
    tokio::time::sleep(Duration::from_secs(60)).await;
    let on_deaf = world.state.lock().unwrap().starts[before..]
        .iter()
        .filter(|s| s.2 == deaf)
        .count();
    assert_eq!(on_deaf, 0);
    // It stays deaf, and goes.
    assert!(eventually(LEASE_S * 6.0, async || !world.up().contains(&deaf)).await);
    world.assert_rules();
}

#[tokio::test(start_paused = true)]
async fn a_cancelled_task_is_gone_from_a_deaf_machine_in_time() {
    let (world, a, _task) = start_with_leader().await;
    let (id, body) = world.job(1, 1, 8.0, 200.0);
    accepted(&a, &body).await;
    assert!(eventually(60.0, async || started(&world) == 1).await);
    tokio::time::sleep(Duration::from_secs(3)).await;
    let worker = world.state.lock().unwrap().starts[0].2.clone();
    world.set_inbound_blocked(&worker, true);
    assert_eq!(
        status_of(&user_api::cancel(&a, &id).await),
        Some(JobStatus::Cancelled)
    );
    world.told_cancelled(&id);
    tokio::time::sleep(Duration::from_secs_f64(CANCEL_TIMEOUT_S + 5.0)).await;
    world.assert_rules();
}

#[tokio::test(start_paused = true)]
async fn a_machine_back_at_once_runs_its_tasks_again_within_two_leases() {
    let (world, a, _task) = start_with_leader().await;
    let (id, body) = world.job(1, 2, 8.0, 8.0);
    accepted(&a, &body).await;
    assert!(eventually(60.0, async || started(&world) == 2).await);
    tokio::time::sleep(Duration::from_secs(4)).await;
    for worker in world.up() {
        world.restart_agent(&worker);
    }
    assert!(
        eventually(LEASE_S * 3.0, async || ask(&a, &id).await
            == Some(JobStatus::Done))
        .await
    );
    world.assert_rules();
}

#[tokio::test(start_paused = true)]
async fn copies_of_reports_from_seconds_to_leases_late_break_nothing() {
    for seed in 0..6 {
        let world = Simulation::new();
        world.seed(seed);
        world.state.lock().unwrap().duplicated_heartbeats = (0.4, LEASE_S * 2.5);
        tokio::spawn(world.clone().run_workers());
        let (a, task) = world.start_controller("n-a");
        let (b, _other) = world.start_controller("n-b");
        let mut jobs = Vec::new();
        for n in 1..=6 {
            let (id, body) = world.job(n, 3, 4.0, 4.0);
            accepted(&a, &body).await;
            jobs.push(id);
            tokio::time::sleep(Duration::from_secs(4)).await;
        }
        // A leader goes in the middle, and a machine dies: its copies go on.
        task.abort();
        world.forget_node("n-a");
        if let Some(worker) = world.up().first() {
            world.set_silent(worker, true);
        }
        for id in &jobs {
            assert!(
                eventually(200.0, async || ask(&b, id).await == Some(JobStatus::Done)).await,
                "{seed}"
            );
        }
        world.assert_rules();
    }
}

// Cut from the state service and from its peers, a node told its users nothing
// for as long as that lasted: they stayed, since it looked healthy.
#[tokio::test(start_paused = true)]
async fn a_controller_apart_leaves_its_users_and_in_time_its_workers() {
    let (world, a, _ta) = start_with_leader().await;
    let (b, _tb) = world.start_controller("n-b");
    let (id, body) = world.job(1, 2, 8.0, 90.0);
    accepted(&a, &body).await;
    assert!(eventually(60.0, async || started(&world) == 2).await);
    // The stand-in settings name no peers: with one, it would be apart.
    assert!(!a.is_isolated());
    world.state.lock().unwrap().partitioned.insert("n-a".into());
    assert!(
        eventually(a.leader_lease_ttl().as_secs_f64() * 4.0, async || {
            let _ = ask(&a, &id).await;
            a.store.failing_since().is_some()
        })
        .await
    );
    // Its workers find the next leader before their leases end.
    assert!(eventually(LEASE_S, async || leads(&b)).await);
    assert!(
        eventually(LEASE_S * 2.0, async || has_recent_heartbeats(&b)
            || !leads(&a))
        .await
    );
    tokio::time::sleep(Duration::from_secs_f64(LEASE_S)).await;
    assert_eq!(started(&world), 2, "no lease ended");
    // Back again, it brings nothing with it; and so a second time.
    world.state.lock().unwrap().partitioned.clear();
    tokio::time::sleep(Duration::from_secs(5)).await;
    world.state.lock().unwrap().partitioned.insert("n-b".into());
    assert!(eventually(LEASE_S * 2.0, async || leads(&a)).await);
    assert!(eventually(200.0, async || ask(&a, &id).await == Some(JobStatus::Done)).await);
    assert_eq!(started(&world), 2);
    world.assert_rules();
}

// A process back within a fraction of a second finds its own name in the
// leader's record, with a lease that still runs.
#[tokio::test(start_paused = true)]
async fn a_controller_back_at_once_leads_no_two_terms_and_repeats_no_name() {
    for pause in [10u64, 90, 300, 900] {
        let world = Simulation::new();
        tokio::spawn(world.clone().run_workers());
        let (mut node, mut task) = world.start_controller("n-a");
        let (id, body) = world.job(1, 12, 4.0, 3.0);
        accepted(&node, &body).await;
        for turn in 0..5u64 {
            tokio::time::sleep(Duration::from_millis(700 * (turn + 1))).await;
            task.abort();
            world.forget_node("n-a");
            tokio::time::sleep(Duration::from_millis(pause)).await;
            (node, task) = world.start_controller("n-a");
        }
        assert!(
            eventually(200.0, async || ask(&node, &id).await
                == Some(JobStatus::Done))
            .await
        );
        world.assert_rules();
    }
}

// A node that has just begun asked the state service twice for each job that it
// was asked about, and as many failed comparisons counted as changes.
#[tokio::test(start_paused = true)]
async fn a_node_that_has_just_begun_answers_for_hundreds_of_jobs_at_once() {
    let (world, a, _task) = start_with_leader().await;
    let mut ids = Vec::new();
    for n in 1..=300 {
        let (id, body) = world.job(n, 1, 8.0, 900.0);
        accepted(&a, &body).await;
        ids.push(id);
    }
    let (b, _tb) = world.start_controller("n-b");
    let began = b.now();
    let mut waiting = ids.clone();
    let answered = eventually(75.0, async || {
        let mut still = Vec::new();
        for id in std::mem::take(&mut waiting) {
            if ask(&b, &id).await.is_none() {
                still.push(id);
            }
        }
        waiting = still;
        waiting.is_empty()
    });
    assert!(answered.await, "{} without an answer", waiting.len());
    assert!(b.now() - began < 30.0, "{:.1} s", b.now() - began);
    let unanswered = b
        .lock(&b.pending_callers)
        .longest(b.now(), LEASE_S)
        .map(|l| l.1);
    assert!(
        unanswered.is_none_or(|s| s < HEARTBEAT_INTERVAL_S),
        "{unanswered:?}"
    );
}

// What fell out of the leader's picture would never run, and nobody said so.
#[tokio::test(start_paused = true)]
async fn a_job_lost_from_the_picture_is_found_by_the_sweep_and_runs() {
    let (world, a, _task) = start_with_leader().await;
    let (id, body) = world.job(1, 2, 4.0, 40.0);
    accepted(&a, &body).await;
    assert!(eventually(60.0, async || started(&world) == 2).await);
    let (lost, body) = world.job(2, 2, 4.0, 3.0);
    accepted(&a, &body).await;
    assert!(
        eventually(10.0, async || a
            .with_cluster(|c| c.jobs.contains_key(&lost))
            == Some(true))
        .await
    );
    // The next change is followed first, so that the loss is behind it.
    let (_, third) = world.job(3, 1, 1.0, 1.0);
    accepted(&a, &third).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    a.with_cluster(|c| c.jobs.retain(|id, _| *id != lost));
    let repaired = reconciliation::reconcile_with_store(&a).await;
    assert_eq!((repaired.added, repaired.removed), (1, 0));
    let repaired = reconciliation::reconcile_with_store(&a).await;
    assert_eq!((repaired.added, repaired.removed), (0, 0));
    for id in [&lost, &id] {
        assert!(eventually(120.0, async || ask(&a, id).await == Some(JobStatus::Done)).await);
    }
    world.assert_rules();
}

// A relay answers for a node that the state service refuses; what it can't tell
// it says at once, and no user is told something older.
#[tokio::test(start_paused = true)]
async fn a_node_refused_by_the_state_service_is_not_apart_while_a_peer_answers() {
    let (world, a, _ta) = start_with_leader().await;
    let (b, _tb) = world.start_controller("n-b");
    *b.lock(&b.relay) = Some(std::sync::Arc::new(To(a.clone())));
    world.state.lock().unwrap().partitioned.insert("n-b".into());
    let (id, body) = world.job(1, 1, 1.0, 3.0);
    accepted(&a, &body).await;
    tokio::time::sleep(Duration::from_secs(5)).await;
    *b.lock(&b.peer_reached_at) = b.now();
    assert!(!b.is_isolated());
    let path = format!("/work/{id}");
    let method = warp::http::Method::GET;
    let reply = user_api::serve(&b, &method, &path, b"").await.unwrap();
    assert_eq!(reply.status(), 200);
}
