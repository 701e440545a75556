//! Meetings of two troubles, each brought about on purpose. The table in
//! `docs/design.md`, "Meetings of troubles", says what prevents each from breaking
//! a rule.

use std::{sync::Arc, time::Duration};
use tallygauge::{node::Node, users};
use tallygauge_wire::users::JobStatus;
use tallygauge_world::{
    CANCEL_S, LEASE_S, StepAt, World, accepted, ask, leads, led, started, status_of, until,
};

/// Cancels a job through a node, which must be told so.
async fn cancel(world: &World, node: &Arc<Node>, id: &str) {
    let told = until(5.0, async || {
        status_of(&users::cancel(node, id).await) == Some(JobStatus::Cancelled)
    });
    assert!(told.await, "{id} can't be cancelled");
    world.told_cancelled(id);
}

/// A world of two controllers, the first of which leads, with a job of two long
/// tasks on two machines.
async fn two_long_tasks() -> (
    Arc<World>,
    [(Arc<Node>, tokio::task::JoinHandle<()>); 2],
    String,
) {
    let (world, a, ta) = led().await;
    let b = world.node("n-b");
    let (id, body) = world.job(1, 2, 8.0, CANCEL_S * 5.0);
    accepted(&a, &body).await;
    assert!(until(60.0, async || started(&world) == 2).await);
    tokio::time::sleep(Duration::from_secs(3)).await;
    (world, [(a, ta), b], id)
}

/// The state service serves nobody for half as long again as a cancellation has.
async fn long_outage(world: &World) {
    world.set_down(true);
    tokio::time::sleep(Duration::from_secs_f64(CANCEL_S * 1.5)).await;
    world.set_down(false);
}

// The meeting that operators named first: workers go on reporting to the leader,
// which knows of no cancellation, and nobody can win a term.
#[tokio::test(start_paused = true)]
async fn refused_alone_then_an_outage_while_another_cancels() {
    for alone_ms in [20u64, 400, 1500, 2500, 6000] {
        let (world, [(a, _ta), (b, _tb)], id) = two_long_tasks().await;
        world.refuse("n-a", true);
        tokio::time::sleep(Duration::from_millis(alone_ms / 2)).await;
        cancel(&world, &b, &id).await;
        tokio::time::sleep(Duration::from_millis(alone_ms / 2)).await;
        long_outage(&world).await;
        world.refuse("n-a", false);
        // Once more before all has settled.
        tokio::time::sleep(Duration::from_millis(300)).await;
        world.refuse("n-a", true);
        long_outage(&world).await;
        world.refuse("n-a", false);
        for node in [&a, &b] {
            let told = until(30.0, async || {
                ask(node, &id).await == Some(JobStatus::Cancelled)
            });
            assert!(told.await, "{alone_ms} ms");
        }
        world.assert_rules();
    }
}

// A leader that had won its term and not read the picture yet answered workers all
// the same, from what it did not know: its watch of jobs counted as confirmed from
// the term's begin. With a watch of the leader before that had been slow, the
// tasks were there for longer than a cancellation has.
#[tokio::test(start_paused = true)]
async fn an_outage_before_a_new_leader_has_read_the_picture() {
    // How long the watch has been slow when the leader ends, in leases.
    for slow in [0.1, 0.2, 0.3, 0.4, 0.5] {
        let (world, [(_a, ta), (b, _tb)], id) = two_long_tasks().await;
        world.inner.lock().unwrap().hold_watches = true;
        cancel(&world, &b, &id).await;
        tokio::time::sleep(Duration::from_secs_f64(LEASE_S * slow)).await;
        // The last of the listings that a new leader begins with.
        world.inner.lock().unwrap().down_at = Some(StepAt {
            node: "n-b".into(),
            request: "GET /store?starts=p/",
            answered: false,
        });
        ta.abort();
        world.forget_node("n-a");
        assert!(until(10.0, async || world.inner.lock().unwrap().down).await);
        assert!(!leads(&b), "the picture is not read");
        world.inner.lock().unwrap().hold_watches = false;
        tokio::time::sleep(Duration::from_secs_f64(CANCEL_S * 1.5)).await;
        world.set_down(false);
        assert!(until(30.0, async || leads(&b)).await);
        assert_eq!(ask(&b, &id).await, Some(JobStatus::Cancelled));
        world.assert_rules();
    }
}
