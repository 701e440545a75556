//! The users' interface: submissions, questions, cancellations.

pub use crate::relay::{Passing, Relay};

use crate::controller::{Known, Node, Query, Verdict, open_key, over_key};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::{sync::Arc, time::Duration};
use tallygauge_protocol::{
    state::{Guard, Transaction, Write},
    users::{ErrorBody, JobAnswer, JobSpec, JobStatus, POLL_WAIT_S, Shape, valid_job_id},
};
use tallygauge_scheduler::check_feasible;
use tallygauge_store::{Class, Outcome};
use tokio::sync::{Semaphore, mpsc, oneshot};
use warp::http::Method;

/// Durable record of an open job. It never changes while the job is open.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct OpenRecord {
    /// As submitted.
    pub spec: JobSpec,
    /// Time of day when it was accepted.
    pub at: f64,
}

/// Durable record of a job that is over. It stays.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct OverRecord {
    /// `done` or `cancelled`.
    pub status: JobStatus,
    /// Tasks done.
    pub done: u32,
}

/// An answer to a user.
#[derive(Debug, Clone, PartialEq)]
pub enum Reply {
    /// About a job, with the status code.
    Job(u16, JobAnswer),
    /// Refused for good: 400, 404, 422.
    No(u16, String),
    /// Can't be known or done now; come back after so many seconds.
    Later(String, u64),
    /// As another node answered.
    Passed(u16, Vec<u8>),
}

/// Seconds that requests are not passed on after no other node could answer:
/// as long as users are told to wait.
const RELAY_PAUSE_S: f64 = 1.0;

/// Seconds that another node may take.
const RELAY_WAIT_S: f64 = POLL_WAIT_S / 4.0;

/// Part of the requests of a second in the time that questions are gathered
/// for: they take a half of the request budget at most, however many they are.
const WINDOW: f64 = 2.0;

/// Seconds after which what the state service said of an open job is asked
/// again before a user is told: the process may have stood still meanwhile, and
/// the job may be over and its user told so elsewhere.
const FRESH_S: f64 = POLL_WAIT_S / 2.0;

/// How long a comparison is sent again before those who ask are told to come back,
/// while they still wait: seconds.
const COMPARE_PATIENCE_S: f64 = POLL_WAIT_S * 0.6;

/// How long a submission or cancellation is sent again before its user is told
/// to come back.
const PATIENCE: Duration = Duration::from_millis((POLL_WAIT_S * 1500.0) as u64);

impl Reply {
    /// Status code.
    #[must_use]
    pub fn status(&self) -> u16 {
        match self {
            Reply::Job(status, _) | Reply::No(status, _) | Reply::Passed(status, _) => *status,
            Reply::Later(..) => 503,
        }
    }

    /// Body.
    #[must_use]
    pub fn body(&self) -> Vec<u8> {
        let body = match self {
            Reply::Passed(_, body) => Ok(body.clone()),
            Reply::Job(_, answer) => serde_json::to_vec(answer),
            Reply::No(_, error) | Reply::Later(error, _) => serde_json::to_vec(&ErrorBody {
                error: error.clone(),
            }),
        };
        body.unwrap_or_default()
    }
}

/// Answers a user, through another node where the state service does not serve
/// this one. Nothing is kept waiting: who can't be answered is told at once.
pub async fn serve(node: &Node, method: &Method, path: &str, body: &[u8]) -> Option<Reply> {
    let over = path_id(path)
        .is_some_and(|id| matches!(node.lock(&node.jobs).get(id), Some(Known::Over(..))));
    let passed = !over && node.state.failing_since().is_some();
    if passed && let Some(reply) = pass(node, method, path, body).await {
        return Some(reply);
    }
    let reply = local(node, method, path, body).await?;
    let unserved = matches!(reply, Reply::Later(..)) && node.state.failing_since().is_some();
    if unserved
        && !passed
        && let Some(reply) = pass(node, method, path, body).await
    {
        return Some(reply);
    }
    Some(reply)
}

fn path_id(path: &str) -> Option<&str> {
    path.trim_matches('/').split('/').nth(1)
}

/// Answers a user from what this node knows and the state service says; `None`
/// for what is no request of users.
pub async fn local(node: &Node, method: &Method, path: &str, body: &[u8]) -> Option<Reply> {
    let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
    match parts.as_slice() {
        ["work"] if method == Method::POST => Some(submit(node, body).await),
        ["work", id] if method == Method::GET => Some(status(node, id).await),
        ["work", id, "abort"] if method == Method::POST => Some(cancel(node, id).await),
        _ => None,
    }
}

/// Passes a request on, unless that was of no use a moment ago.
async fn pass(node: &Node, method: &Method, path: &str, body: &[u8]) -> Option<Reply> {
    let relay = node.lock(&node.relay).clone()?;
    if node.now() < *node.lock(&node.relay_after) {
        return None;
    }
    let most = Duration::from_secs_f64(RELAY_WAIT_S);
    let asked = node.now();
    let answer = tokio::time::timeout(most, relay.pass(method, path, body)).await;
    // An answer that lay there while this process stood still may be out of
    // date: the timeout above lets it pass.
    let late = node.now() - asked > FRESH_S;
    match answer {
        Ok(Some((status, body))) if !late => {
            learn_cancelled(node, &body);
            Some(Reply::Passed(status, body))
        }
        Ok(_) | Err(_) => {
            *node.lock(&node.relay_after) = node.now() + RELAY_PAUSE_S;
            None
        }
    }
}

/// A leader that the state service does not serve hears of a cancellation as it
/// passes the answer on: the job's tasks are stopped at once. This serves sooner;
/// the fence holds without it.
fn learn_cancelled(node: &Node, body: &[u8]) {
    let Ok(answer) = serde_json::from_slice::<JobAnswer>(body) else {
        return;
    };
    let now = node.now();
    if answer.status == JobStatus::Cancelled
        && node.with_cluster(|c| c.remove_job(&answer.id, now)) == Some(true)
    {
        node.wake.notify_one();
    }
}

/// What the state service says of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Found {
    Unknown,
    Open,
    Over(JobStatus, u32),
}

fn later() -> Reply {
    Reply::Later("the state of the job can't be told now".into(), 1)
}

fn answer(id: &str, status: JobStatus) -> JobAnswer {
    JobAnswer {
        id: id.to_string(),
        status,
        done: None,
        running: None,
    }
}

/// Compares versions at the state service, for many askers at a time; of polls
/// those first that have gone without an answer for longest. Whoever has waited
/// for as long as a user does is let go.
pub async fn answer_queries(node: Arc<Node>, mut questions: mpsc::Receiver<Query>) {
    let most = node.settings.deployment.state.txn_ops * 4;
    let turns = Arc::new(Semaphore::new(3));
    let mut pool: Vec<Query> = Vec::new();
    loop {
        if pool.is_empty() {
            let Some(first) = questions.recv().await else {
                return;
            };
            pool.push(first);
        }
        // Whoever asks meanwhile shares the request.
        let window = WINDOW / node.state.budget().request_rate().max(1.0);
        tokio::time::sleep(Duration::from_secs_f64(window.min(0.1))).await;
        let Ok(turn) = turns.clone().acquire_owned().await else {
            return;
        };
        while let Ok(query) = questions.try_recv() {
            pool.push(query);
        }
        let now = node.now();
        pool.retain(|q| !q.reply.is_closed() && now - q.asked < POLL_WAIT_S);
        let batch = first_of(&mut pool, most);
        if batch.is_empty() {
            continue;
        }
        let node = node.clone();
        tokio::spawn(async move {
            compare(&node, batch).await;
            drop(turn);
        });
    }
}

/// Takes the questions that go first out of those that wait, as many as one
/// request bears.
fn first_of(pool: &mut Vec<Query>, most: usize) -> Vec<Query> {
    pool.sort_by(|a, b| a.class.cmp(&b.class).then(a.since.total_cmp(&b.since)));
    let mut count = 0;
    let fits = pool.iter().take_while(|q| {
        count += q.guards.len();
        count <= most
    });
    let fits = fits.count();
    pool.drain(..fits).collect()
}

async fn compare(node: &Node, batch: Vec<Query>) {
    // The most important takes the others along.
    let classes = batch.iter().map(|q| q.class);
    let class = classes.min().unwrap_or(Class::Polls);
    let mut guards: Vec<Guard> = Vec::new();
    for guard in batch.iter().flat_map(|q| &q.guards) {
        if !guards.contains(guard) {
            guards.push(guard.clone());
        }
    }
    let verdict = broken_guards(node, class, guards).await;
    for query in batch {
        let verdict = verdict.as_ref().map(|(broken, as_of)| Verdict {
            holds: query
                .guards
                .iter()
                .map(|g| !broken.contains(&g.key))
                .collect(),
            as_of: *as_of,
        });
        let _ = query.reply.send(verdict);
    }
}

/// Which of these guards don't hold, and since when that is known; `None` if it
/// can't be known in the time that users wait. A comparison writes nothing, so
/// one whose answer is lost is asked again at will.
async fn broken_guards(
    node: &Node,
    class: Class,
    mut guards: Vec<Guard>,
) -> Option<(Vec<String>, f64)> {
    let mut broken: Vec<String> = Vec::new();
    let mut as_of = f64::INFINITY;
    let until = node.now() + COMPARE_PATIENCE_S;
    // A conflict names keys that failed, perhaps not all: the rest is asked
    // again until it holds.
    while !guards.is_empty() {
        let txn = Transaction {
            guards: guards.clone(),
            writes: Vec::new(),
        };
        let patience = Duration::from_secs_f64((until - node.now()).max(0.0));
        let settled = node.state.settle(class, &txn, Some(patience)).await;
        as_of = as_of.min(node.at(settled.sent));
        match settled.outcome {
            Ok(Outcome::Made(_)) => break,
            Ok(Outcome::Conflict(keys)) if !keys.is_empty() => {
                guards.retain(|g| !keys.contains(&g.key));
                broken.extend(keys);
            }
            _ => return None,
        }
    }
    Some((broken, as_of))
}

async fn ask(node: &Node, (class, since): (Class, f64), guards: Vec<Guard>) -> Option<Verdict> {
    let (reply, answer) = oneshot::channel();
    let query = Query {
        class,
        since,
        asked: node.now(),
        guards,
        reply,
    };
    node.queries.try_send(query).ok()?;
    answer.await.ok()?
}

/// What is true of a job now; `None` if that can't be known. Between the last
/// look at the clock and the caller's answer there is no await.
async fn lookup(node: &Node, class: Class, since: f64, id: &str) -> Option<Found> {
    let guard = |key: String, version| Guard { key, version };
    // Once for each turn that a job's state may take, and once more.
    for _ in 0..4 {
        let fresh = |as_of: f64| node.now() - as_of <= FRESH_S;
        let known = node.lock(&node.jobs).get(id);
        match known {
            Some(Known::Over(status, done)) => return Some(Found::Over(status, done)),
            Some(Known::Open(version)) => {
                let guards = vec![guard(open_key(id), version)];
                let verdict = ask(node, (class, since), guards).await?;
                if verdict.holds[0] {
                    if fresh(verdict.as_of) {
                        return Some(Found::Open);
                    }
                    continue;
                }
                node.lock(&node.jobs).forget_open(id, version);
            }
            Some(Known::Stale) | None => {
                if known.is_none() {
                    node.note_unknown();
                }
                let guards = vec![guard(open_key(id), 0), guard(over_key(id), 0)];
                let verdict = ask(node, (class, since), guards).await?;
                let [open, over] = [!verdict.holds[0], !verdict.holds[1]];
                if !open && !over {
                    if fresh(verdict.as_of) {
                        return Some(Found::Unknown);
                    }
                    continue;
                }
                let asked = node.now();
                if open && let Some(row) = node.state.get(class, &open_key(id)).await.ok()? {
                    node.lock(&node.jobs).put(id, Known::Open(row.version));
                    if fresh(asked) {
                        return Some(Found::Open);
                    }
                    continue;
                }
                if let Some(row) = node.state.get(class, &over_key(id)).await.ok()? {
                    let record: OverRecord = serde_json::from_value(row.value).ok()?;
                    node.lock(&node.jobs)
                        .put(id, Known::Over(record.status, record.done));
                }
            }
        }
    }
    None
}

/// Reads a job's records: what a transaction about it met. `None` if that can't be
/// known, or the job has no record.
async fn read_state(node: &Node, id: &str) -> Option<Found> {
    let asked = node.now();
    if let Some(row) = node.state.get(Class::Users, &open_key(id)).await.ok()? {
        node.lock(&node.jobs).put(id, Known::Open(row.version));
        return (node.now() - asked <= FRESH_S).then_some(Found::Open);
    }
    let row = node.state.get(Class::Users, &over_key(id)).await.ok()??;
    let record: OverRecord = serde_json::from_value(row.value).ok()?;
    let known = Known::Over(record.status, record.done);
    node.lock(&node.jobs).put(id, known);
    Some(Found::Over(record.status, record.done))
}

fn found(node: &Node, id: &str, found: Found) -> Option<JobAnswer> {
    let (status, done, running) = match found {
        Found::Unknown => return None,
        Found::Over(status, done) => (status, done, 0),
        Found::Open => {
            let own = node.with_cluster(|c| c.counts(id)).flatten();
            let (done, running) = own.unwrap_or_else(|| {
                let mut counts = node.lock(&node.counts);
                counts.asked.insert(id.to_string());
                counts.known.get(id).map_or((0, 0), |c| (c.0, c.1))
            });
            let status = if running > 0 {
                JobStatus::Running
            } else {
                JobStatus::Pending
            };
            (status, done, running)
        }
    };
    Some(JobAnswer {
        done: Some(done),
        running: Some(running),
        ..answer(id, status)
    })
}

/// Reads all open jobs' versions whenever this node has been asked about several
/// that it knows nothing of, as after a start: one request for hundreds, where
/// each would cost two and a failed comparison. No oftener than once a lease.
pub async fn prime(node: Arc<Node>) {
    let pause = Duration::from_secs_f64(node.settings.deployment.workers.lease_s);
    loop {
        node.wake_prime.notified().await;
        if let Ok((rows, _)) = node.state.list(Class::Upkeep, "o/").await {
            learn_open(&node, rows.iter().map(|r| (r.key.as_str(), r.version)));
            *node.lock(&node.unknown) = 0;
            tokio::time::sleep(pause).await;
        } else {
            tokio::time::sleep(pause / 16).await;
            node.wake_prime.notify_one();
        }
    }
}

/// Takes up versions of open jobs' records, as far as nothing is known of them.
/// Before a user is told, the state service is asked whether they still hold.
pub fn learn_open<'a>(node: &Node, rows: impl Iterator<Item = (&'a str, u64)>) {
    let mut jobs = node.lock(&node.jobs);
    for (key, version) in rows {
        if let Some(id) = key.strip_prefix("o/")
            && jobs.get(id).is_none()
        {
            jobs.put(id, Known::Open(version));
        }
    }
}

/// `GET /work/{id}`
pub async fn status(node: &Node, id: &str) -> Reply {
    if !valid_job_id(id) {
        return Reply::No(404, "no such job".into());
    }
    let (now, memory_s) = (node.now(), node.poll_memory_s());
    let since = node.lock(&node.unanswered).asked(id, now, memory_s);
    let Some(what) = lookup(node, Class::Polls, since, id).await else {
        return later();
    };
    node.lock(&node.unanswered).answered(id);
    match found(node, id, what) {
        Some(answer) => Reply::Job(200, answer),
        None => Reply::No(404, "no such job".into()),
    }
}

/// `POST /work`
pub async fn submit(node: &Node, body: &[u8]) -> Reply {
    let value: Value = match serde_json::from_slice(body) {
        Ok(value) => value,
        Err(error) => return Reply::No(400, format!("not JSON: {error}")),
    };
    let Some(object) = value.as_object() else {
        return Reply::No(400, "not a JSON object".into());
    };
    let id = match object.get("nameId").and_then(Value::as_str) {
        Some(id) if valid_job_id(id) => id.to_string(),
        _ => return Reply::No(400, "nameId must be 'req-' followed by digits".into()),
    };
    // A known job is answered for before anything else is looked at.
    if node.lock(&node.jobs).get(&id).is_some() {
        match repeat(node, &id).await {
            Ok(Some(reply)) | Err(reply) => return reply,
            Ok(None) => {}
        }
    }
    let refusal = match serde_json::from_value::<JobSpec>(value) {
        Err(error) => Err((400, error.to_string())),
        Ok(spec) => match spec.check() {
            Err(error) => Err((400, error)),
            Ok(()) => {
                let types = node.lock(&node.catalogue).clone();
                match types {
                    None => {
                        return match repeat(node, &id).await {
                            Ok(Some(reply)) => reply,
                            _ => Reply::Later("the machine types are not known yet".into(), 1),
                        };
                    }
                    Some(types) => check_feasible(&spec, &node.settings.teams(), &types)
                        .map(|()| spec)
                        .map_err(|error| (422, error)),
                }
            }
        },
    };
    match refusal {
        Err((status, error)) => match repeat(node, &id).await {
            Ok(Some(reply)) | Err(reply) => reply,
            Ok(None) => Reply::No(status, error),
        },
        Ok(spec) => accept(node, &id, spec).await,
    }
}

async fn repeat(node: &Node, id: &str) -> Result<Option<Reply>, Reply> {
    match lookup(node, Class::Users, node.now(), id).await {
        None => Err(later()),
        Some(what) => Ok(found(node, id, what).map(|a| Reply::Job(200, answer(id, a.status)))),
    }
}

async fn accept(node: &Node, id: &str, spec: JobSpec) -> Reply {
    let record = OpenRecord {
        spec,
        at: node.time_of_day(),
    };
    let Ok(value) = serde_json::to_value(&record) else {
        return Reply::No(400, "the submission can't be kept".into());
    };
    if value.to_string().len() as f64 > node.settings.deployment.state.value_kb * 1024.0 * 0.9 {
        return Reply::No(400, "the submission is too long to be kept".into());
    }
    let guard = |key| Guard { key, version: 0 };
    let txn = Transaction {
        guards: vec![guard(open_key(id)), guard(over_key(id))],
        writes: vec![Write::Set {
            key: open_key(id),
            value,
            lease: None,
        }],
    };
    // The guards make it safe to send it again when no answer came: the record
    // of a job is made once, and never again after the job is over.
    let settled = node.state.settle(Class::Users, &txn, Some(PATIENCE)).await;
    match settled.outcome {
        Ok(Outcome::Made(version)) => {
            node.lock(&node.jobs).put(id, Known::Open(version));
            return Reply::Job(201, answer(id, JobStatus::Pending));
        }
        // Known already, perhaps by an earlier copy of this submission.
        Ok(Outcome::Conflict(_)) => {
            return match read_state(node, id).await.and_then(|w| found(node, id, w)) {
                Some(known) => Reply::Job(200, answer(id, known.status)),
                None => later(),
            };
        }
        Ok(Outcome::NoLease) | Err(_) => {}
    }
    Reply::Later("the job can't be kept now".into(), 1)
}

/// `POST /work/{id}/abort`
pub async fn cancel(node: &Node, id: &str) -> Reply {
    if !valid_job_id(id) {
        return Reply::No(404, "no such job".into());
    }
    for _ in 0..3 {
        match lookup(node, Class::Users, node.now(), id).await {
            None => return later(),
            Some(Found::Unknown) => return Reply::No(404, "no such job".into()),
            Some(Found::Over(status, _)) => return Reply::Job(200, answer(id, status)),
            Some(Found::Open) => {}
        }
        let row = match node.state.get(Class::Users, &open_key(id)).await {
            Ok(Some(row)) => row,
            Ok(None) => continue,
            Err(_) => return later(),
        };
        let Ok(record) = serde_json::from_value::<OpenRecord>(row.value) else {
            return later();
        };
        let done = node
            .with_cluster(|c| c.counts(id))
            .flatten()
            .map_or(0, |c| c.0);
        let over = OverRecord {
            status: JobStatus::Cancelled,
            done: if record.spec.shape == Shape::Service {
                0
            } else {
                done
            },
        };
        let Ok(value) = serde_json::to_value(&over) else {
            return later();
        };
        let txn = Transaction {
            guards: vec![Guard {
                key: open_key(id),
                version: row.version,
            }],
            writes: vec![
                Write::Remove { key: open_key(id) },
                Write::Set {
                    key: over_key(id),
                    value,
                    lease: None,
                },
            ],
        };
        let settled = node.state.settle(Class::Users, &txn, Some(PATIENCE)).await;
        match settled.outcome {
            Ok(Outcome::Made(_)) => {
                node.lock(&node.jobs)
                    .put(id, Known::Over(JobStatus::Cancelled, over.done));
                let now = node.now();
                node.with_cluster(|c| c.remove_job(id, now));
                node.wake.notify_one();
                return Reply::Job(200, answer(id, JobStatus::Cancelled));
            }
            // Over by now, perhaps by an earlier copy of this cancellation.
            Ok(_) => {
                if let Some(Found::Over(status, _)) = read_state(node, id).await {
                    return Reply::Job(200, answer(id, status));
                }
            }
            Err(_) => return later(),
        }
    }
    later()
}
