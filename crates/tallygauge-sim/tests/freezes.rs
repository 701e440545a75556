//! Controllers that stand still for seconds while their clocks run on: what
//! they knew before is looked at again before they act on it.

use std::{sync::Arc, time::Duration};
use tallygauge::{
    controller::Controller,
    user_api::{self, Relay, RelayFuture},
};
use tallygauge_protocol::users::JobStatus;
use tallygauge_sim::{
    CANCEL_TIMEOUT_S, Simulation, StepAt, To, accepted, ask, eventually, start_with_leader,
    started, status_of,
};
use warp::http::Method;

/// Cancels a job, through whichever node answers.
async fn cancelled(world: &Simulation, nodes: &[&Arc<Controller>], id: &str) -> JobStatus {
    let mut told = None;
    let done = eventually(60.0, async || {
        for node in nodes {
            if world.is_paused(&node.settings.node_name) {
                continue;
            }
            told = status_of(&user_api::cancel(node, id).await);
            if told.is_some() {
                return true;
            }
        }
        false
    });
    assert!(done.await, "{id} can't be cancelled");
    let told = told.unwrap();
    if told == JobStatus::Cancelled {
        world.told_cancelled(id);
    }
    told
}

#[tokio::test(start_paused = true)]
async fn a_leader_that_stood_still_returns_no_machine_that_its_successor_uses() {
    // After the pause all machines look idle for long to it, and it may have
    // been replaced: it returned machines on which its successor's tasks ran.
    let (world, a, _ta) = start_with_leader().await;
    let (_, body) = world.job(1, 2, 8.0, 5.0);
    accepted(&a, &body).await;
    assert!(eventually(60.0, async || started(&world) == 2).await);
    assert!(
        eventually(60.0, async || a.with_cluster(|c| c.jobs.is_empty())
            == Some(true))
        .await
    );
    world.pause("n-a");
    let (b, _tb) = world.start_controller("n-b");
    let (other, body) = world.job(2, 2, 8.0, 60.0);
    accepted(&b, &body).await;
    assert!(eventually(20.0, async || started(&world) == 4).await);
    tokio::time::sleep(Duration::from_secs(10)).await;
    // Nobody tells it what has happened: neither workers nor the state service.
    world.state.lock().unwrap().partitioned.insert("n-a".into());
    world.resume("n-a");
    assert!(
        eventually(90.0, async || ask(&b, &other).await
            == Some(JobStatus::Done))
        .await
    );
    assert_eq!(world.state.lock().unwrap().lost_work, 0);
    assert_eq!(started(&world), 4, "nothing ran again");
    world.assert_rules();
}

#[tokio::test(start_paused = true)]
async fn a_leader_that_stood_still_commands_nobody_before_it_knows_that_it_leads() {
    // The answer to its watch of jobs lay there when it went on, with a
    // cancellation: it told workers at once, in the name of a term long gone.
    let (world, a, _ta) = start_with_leader().await;
    let (id, body) = world.job(1, 2, 8.0, 90.0);
    accepted(&a, &body).await;
    assert!(eventually(60.0, async || started(&world) == 2).await);
    let (b, _tb) = world.start_controller("n-b");
    world.state.lock().unwrap().hold_watches = true;
    assert_eq!(cancelled(&world, &[&b], &id).await, JobStatus::Cancelled);
    {
        let mut inner = world.state.lock().unwrap();
        inner.hold_watches = false;
        inner.freeze_at = Some(StepAt {
            node: "n-a".into(),
            request: "GET /changes?starts=o/",
            answered: true,
        });
    }
    assert!(eventually(5.0, async || world.is_paused("n-a")).await);
    let still_since = world.now();
    // Its successor uses the same machines.
    let (_, body) = world.job(2, 2, 8.0, 60.0);
    accepted(&b, &body).await;
    assert!(eventually(8.0, async || started(&world) == 4).await);
    // Past the fence, though its workers' sessions have not run out yet.
    let rest = a.fence_s() + 0.5 - (world.now() - still_since);
    tokio::time::sleep(Duration::from_secs_f64(rest)).await;
    world.state.lock().unwrap().partitioned.insert("n-a".into());
    world.resume("n-a");
    tokio::time::sleep(Duration::from_secs(10)).await;
    let inner = world.state.lock().unwrap();
    assert_eq!(
        inner.rejected_commands, 0,
        "a message of an old term went out"
    );
    assert!(inner.violations.is_empty(), "{:?}", inner.violations);
}

#[tokio::test(start_paused = true)]
async fn what_was_true_before_a_node_stood_still_is_asked_again() {
    // The state service called the job open, then the node stood still; its
    // user cancelled the job through another, and was told that it is pending.
    let (world, a, _ta) = start_with_leader().await;
    let (b, _tb) = world.start_controller("n-b");
    let (id, body) = world.job(1, 1, 8.0, 90.0);
    accepted(&b, &body).await;
    world.state.lock().unwrap().freeze_at = Some(StepAt {
        node: "n-b".into(),
        request: "POST /multi",
        answered: true,
    });
    let (w, n, job) = (world.clone(), b.clone(), id.clone());
    let poll = tokio::spawn(async move {
        let poll = async { status_of(&user_api::job_status(&n, &job).await) };
        w.on("n-b", poll).await
    });
    assert!(eventually(5.0, async || world.is_paused("n-b")).await);
    assert_eq!(cancelled(&world, &[&a], &id).await, JobStatus::Cancelled);
    tokio::time::sleep(Duration::from_millis(1500)).await;
    world.resume("n-b");
    assert_eq!(poll.await.unwrap(), Some(JobStatus::Cancelled));
}

/// Passes requests on to another node, and makes its own stand still once it
/// has the answer.
struct ThenStill(To, Arc<Simulation>, &'static str);

impl Relay for ThenStill {
    fn relay<'a>(&'a self, method: &'a Method, path: &'a str, body: &'a [u8]) -> RelayFuture<'a> {
        Box::pin(async move {
            let answer = self.0.relay(method, path, body).await;
            self.1.pause(self.2);
            tokio::task::yield_now().await;
            answer
        })
    }
}

#[tokio::test(start_paused = true)]
async fn an_answer_relayed_before_a_node_stood_still_is_not_passed_on() {
    let (world, a, _ta) = start_with_leader().await;
    let (b, _tb) = world.start_controller("n-b");
    let (id, body) = world.job(1, 1, 8.0, 90.0);
    accepted(&a, &body).await;
    world.state.lock().unwrap().partitioned.insert("n-b".into());
    // It has to find out that it is refused.
    let _ = user_api::job_status(&b, &id).await;
    b.relay
        .set(Arc::new(ThenStill(To(a.clone()), world.clone(), "n-b")));
    let (w, n, path) = (world.clone(), b.clone(), format!("/work/{id}"));
    let poll = tokio::spawn(async move {
        let poll = async {
            let reply = user_api::serve(&n, &Method::GET, &path, b"").await.unwrap();
            (reply.status(), reply.body())
        };
        w.on("n-b", poll).await
    });
    assert!(eventually(5.0, async || world.is_paused("n-b")).await);
    assert_eq!(cancelled(&world, &[&a], &id).await, JobStatus::Cancelled);
    tokio::time::sleep(Duration::from_millis(1500)).await;
    world.resume("n-b");
    let (status, body) = poll.await.unwrap();
    let body = String::from_utf8(body).unwrap();
    assert!(
        status == 503 || body.contains("cancelled"),
        "{status} {body}"
    );
}

/// A day of three jobs on two nodes, one of which stands still for `pause_s` at
/// the place given; one job is cancelled meanwhile, another submitted.
async fn stands_still(at: StepAt, pause_s: f64, both: bool, down: bool) {
    let what = format!(
        "{} answered={} {pause_s} s both={both} down={down}",
        at.request, at.answered
    );
    let (world, a, _ta) = start_with_leader().await;
    let (b, _tb) = world.start_controller("n-b");
    let (first, body) = world.job(1, 5, 4.0, 12.0);
    accepted(&a, &body).await;
    let (second, body) = world.job(2, 3, 4.0, 30.0);
    accepted(&b, &body).await;
    assert!(
        eventually(60.0, async || started(&world) >= 4).await,
        "{what}"
    );
    let who = at.node.clone();
    world.state.lock().unwrap().freeze_at = Some(at);
    let other = if who == "n-a" { &b } else { &a };
    // It has happened within a while, or does now.
    eventually(20.0, async || world.is_paused(&who)).await;
    world.state.lock().unwrap().freeze_at = None;
    world.pause(&who);
    if both {
        world.pause(&other.settings.node_name);
    }
    if down {
        world.set_down(true);
    }
    let (third, body) = world.job(3, 2, 2.0, 5.0);
    let submission = world.on(&other.settings.node_name, accepted(other, &body));
    let pause = async {
        if !both && !down {
            cancelled(&world, &[other], &second).await;
        }
        tokio::time::sleep(Duration::from_secs_f64(pause_s)).await;
        world.set_down(false);
        world.resume(&who);
        world.resume(&other.settings.node_name);
    };
    tokio::join!(submission, pause);
    let told = cancelled(&world, &[&a, &b], &second).await;
    for (node, id, end) in [
        (&a, &first, JobStatus::Done),
        (&b, &first, JobStatus::Done),
        (&a, &third, JobStatus::Done),
        (&b, &third, JobStatus::Done),
        (&a, &second, told),
        (&b, &second, told),
    ] {
        let said = eventually(200.0, async || ask(node, id).await == Some(end)).await;
        assert!(said, "{what}: {id}");
    }
    tokio::time::sleep(Duration::from_secs_f64(CANCEL_TIMEOUT_S)).await;
    let inner = world.state.lock().unwrap();
    assert!(
        inner.violations.is_empty(),
        "{what}: {:?}",
        inner.violations
    );
}

#[tokio::test(start_paused = true)]
async fn no_rule_breaks_wherever_a_node_stands_still() {
    let requests = [
        "POST /multi",
        "POST /orders",
        "POST /leases/",
        "POST /machines",
        "GET /machines",
        "GET /changes?starts=o/",
        "GET /changes?starts=t/",
        "GET /store",
    ];
    for request in requests {
        for (node, answered, pause_s) in [
            ("n-a", false, 8.0),
            ("n-a", true, 8.0),
            ("n-a", true, 35.0),
            ("n-b", true, 8.0),
        ] {
            let node = node.to_string();
            let at = StepAt {
                node,
                request,
                answered,
            };
            stands_still(at, pause_s, false, false).await;
        }
    }
    for (both, down) in [(true, false), (false, true), (true, true)] {
        let at = StepAt {
            node: "n-a".into(),
            request: "POST /multi",
            answered: true,
        };
        stands_still(at, 16.0, both, down).await;
    }
}
