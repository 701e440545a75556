//! The users' interface: submissions, questions, cancellations.

pub use crate::relay::{Relay, RelayFuture};

use crate::{
    controller::{CachedJob, Controller, VersionCheck, VersionCheckResult},
    store_keys::{active_job_key, terminal_job_key},
};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::{sync::Arc, time::Duration};
use tallygauge_protocol::{
    state::{Condition, Transaction, Write},
    users::{
        ErrorResponse, JobResponse, JobSpec, JobStatus, POLL_TIMEOUT_S, Shape, is_valid_job_id,
    },
};
use tallygauge_scheduler::check_feasible;
use tallygauge_store::{RequestPriority, TransactionOutcome};
use tokio::sync::{Semaphore, mpsc, oneshot};
use warp::http::Method;

/// Durable record of an open job. It never changes while the job is open.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ActiveJobRecord {
    /// As submitted.
    pub spec: JobSpec,
    /// Time of day when it was accepted.
    pub at: f64,
}

/// Durable record of a job that is over. It stays.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TerminalJobRecord {
    /// `done` or `cancelled`.
    pub status: JobStatus,
    /// Tasks done.
    pub done: u32,
}

/// An answer to a user.
#[derive(Debug, Clone, PartialEq)]
pub enum Reply {
    /// About a job, with the status code.
    Job(u16, JobResponse),
    /// Refused for good: 400, 404, 422.
    Rejected(u16, String),
    /// Can't be known or done now; come back after so many seconds.
    RetryLater(String, u64),
    /// As another node answered.
    Relayed(u16, Vec<u8>),
}

/// Seconds that requests are not passed on after no other node could answer:
/// as long as users are told to wait.
const RELAY_PAUSE_S: f64 = 1.0;

/// Seconds that another node may take.
const RELAY_WAIT_S: f64 = POLL_TIMEOUT_S / 4.0;

/// Part of the requests of a second in the time that questions are gathered
/// for: they take a half of the request budget at most, however many they are.
const WINDOW: f64 = 2.0;

/// Seconds after which what the state service said of an open job is asked
/// again before a user is told: the process may have stood still meanwhile, and
/// the job may be over and its user told so elsewhere.
const FRESH_S: f64 = POLL_TIMEOUT_S / 2.0;

/// How long a comparison is sent again before those who ask are told to come back,
/// while they still wait: seconds.
const COMPARE_PATIENCE_S: f64 = POLL_TIMEOUT_S * 0.6;

/// How long a submission or cancellation is sent again before its user is told
/// to come back.
const PATIENCE: Duration = Duration::from_millis((POLL_TIMEOUT_S * 1500.0) as u64);

impl Reply {
    /// Status code.
    #[must_use]
    pub fn status(&self) -> u16 {
        match self {
            Reply::Job(status, _) | Reply::Rejected(status, _) | Reply::Relayed(status, _) => {
                *status
            }
            Reply::RetryLater(..) => 503,
        }
    }

    /// Body.
    #[must_use]
    pub fn body(&self) -> Vec<u8> {
        let body = match self {
            Reply::Relayed(_, body) => Ok(body.clone()),
            Reply::Job(_, answer) => serde_json::to_vec(answer),
            Reply::Rejected(_, error) | Reply::RetryLater(error, _) => {
                serde_json::to_vec(&ErrorResponse {
                    error: error.clone(),
                })
            }
        };
        body.unwrap_or_default()
    }
}

/// Answers a user, through another node where the state service does not serve
/// this one. Nothing is kept waiting: who can't be answered is told at once.
pub async fn serve(
    controller: &Controller,
    method: &Method,
    path: &str,
    body: &[u8],
) -> Option<Reply> {
    let over = path_id(path).is_some_and(|id| {
        matches!(
            controller.lock(&controller.jobs).get(id),
            Some(CachedJob::Terminal(..))
        )
    });
    let passed = !over && controller.store.failing_since().is_some();
    if passed && let Some(reply) = pass(controller, method, path, body).await {
        return Some(reply);
    }
    let reply = local(controller, method, path, body).await?;
    let unserved =
        matches!(reply, Reply::RetryLater(..)) && controller.store.failing_since().is_some();
    if unserved
        && !passed
        && let Some(reply) = pass(controller, method, path, body).await
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
pub async fn local(
    controller: &Controller,
    method: &Method,
    path: &str,
    body: &[u8],
) -> Option<Reply> {
    let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
    match parts.as_slice() {
        ["work"] if method == Method::POST => Some(submit(controller, body).await),
        ["work", id] if method == Method::GET => Some(job_status(controller, id).await),
        ["work", id, "abort"] if method == Method::POST => Some(cancel(controller, id).await),
        _ => None,
    }
}

/// Passes a request on, unless that was of no use a moment ago.
async fn pass(controller: &Controller, method: &Method, path: &str, body: &[u8]) -> Option<Reply> {
    let relay = controller.lock(&controller.relay).clone()?;
    if controller.now() < *controller.lock(&controller.relay_backoff_until) {
        return None;
    }
    let most = Duration::from_secs_f64(RELAY_WAIT_S);
    let asked = controller.now();
    let answer = tokio::time::timeout(most, relay.relay(method, path, body)).await;
    // An answer that lay there while this process stood still may be out of
    // date: the timeout above lets it pass.
    let late = controller.now() - asked > FRESH_S;
    match answer {
        Ok(Some((status, body))) if !late => {
            apply_relayed_cancellation(controller, &body);
            Some(Reply::Relayed(status, body))
        }
        Ok(_) | Err(_) => {
            *controller.lock(&controller.relay_backoff_until) = controller.now() + RELAY_PAUSE_S;
            None
        }
    }
}

/// A leader that the state service does not serve hears of a cancellation as it
/// passes the answer on: the job's tasks are stopped at once. This serves sooner;
/// the fence holds without it.
fn apply_relayed_cancellation(controller: &Controller, body: &[u8]) {
    let Ok(answer) = serde_json::from_slice::<JobResponse>(body) else {
        return;
    };
    let now = controller.now();
    if answer.status == JobStatus::Cancelled
        && controller.with_cluster(|c| c.remove_job(&answer.id, now)) == Some(true)
    {
        controller.wake_scheduler.notify_one();
    }
}

/// What the state service says of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum JobLookup {
    Unknown,
    Open,
    Over(JobStatus, u32),
}

fn retry_later() -> Reply {
    Reply::RetryLater("the state of the job can't be told now".into(), 1)
}

fn answer(id: &str, status: JobStatus) -> JobResponse {
    JobResponse {
        id: id.to_string(),
        status,
        done: None,
        running: None,
    }
}

/// Compares versions at the state service, for many askers at a time; of polls
/// those first that have gone without an answer for longest. Whoever has waited
/// for as long as a user does is let go.
pub async fn serve_version_checks(
    controller: Arc<Controller>,
    mut questions: mpsc::Receiver<VersionCheck>,
) {
    let most = controller
        .settings
        .deployment
        .store
        .max_writes_per_transaction
        * 4;
    let turns = Arc::new(Semaphore::new(3));
    let mut pool: Vec<VersionCheck> = Vec::new();
    loop {
        if pool.is_empty() {
            let Some(first) = questions.recv().await else {
                return;
            };
            pool.push(first);
        }
        // Whoever asks meanwhile shares the request.
        let window = WINDOW / controller.store.budget().request_rate().max(1.0);
        tokio::time::sleep(Duration::from_secs_f64(window.min(0.1))).await;
        let Ok(turn) = turns.clone().acquire_owned().await else {
            return;
        };
        while let Ok(query) = questions.try_recv() {
            pool.push(query);
        }
        let now = controller.now();
        pool.retain(|q| !q.reply.is_closed() && now - q.requested_at < POLL_TIMEOUT_S);
        let batch = take_most_urgent(&mut pool, most);
        if batch.is_empty() {
            continue;
        }
        let controller = controller.clone();
        tokio::spawn(async move {
            run_version_checks(&controller, batch).await;
            drop(turn);
        });
    }
}

/// Takes the questions that go first out of those that wait, as many as one
/// request bears.
fn take_most_urgent(pool: &mut Vec<VersionCheck>, most: usize) -> Vec<VersionCheck> {
    pool.sort_by(|a, b| {
        a.priority
            .cmp(&b.priority)
            .then(a.unanswered_since.total_cmp(&b.unanswered_since))
    });
    let mut count = 0;
    let fits = pool.iter().take_while(|q| {
        count += q.conditions.len();
        count <= most
    });
    let fits = fits.count();
    pool.drain(..fits).collect()
}

async fn run_version_checks(controller: &Controller, batch: Vec<VersionCheck>) {
    // The most important takes the others along.
    let classes = batch.iter().map(|q| q.priority);
    let class = classes.min().unwrap_or(RequestPriority::Polls);
    let mut guards: Vec<Condition> = Vec::new();
    for guard in batch.iter().flat_map(|q| &q.conditions) {
        if !guards.contains(guard) {
            guards.push(guard.clone());
        }
    }
    let verdict = failed_conditions(controller, class, guards).await;
    for query in batch {
        let verdict = verdict.as_ref().map(|(broken, as_of)| VersionCheckResult {
            holds: query
                .conditions
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
async fn failed_conditions(
    controller: &Controller,
    class: RequestPriority,
    mut guards: Vec<Condition>,
) -> Option<(Vec<String>, f64)> {
    let mut broken: Vec<String> = Vec::new();
    let mut as_of = f64::INFINITY;
    let until = controller.now() + COMPARE_PATIENCE_S;
    // A conflict names keys that failed, perhaps not all: the rest is asked
    // again until it holds.
    while !guards.is_empty() {
        let txn = Transaction {
            conditions: guards.clone(),
            writes: Vec::new(),
        };
        let patience = Duration::from_secs_f64((until - controller.now()).max(0.0));
        let settled = controller
            .store
            .commit_with_retries(class, &txn, Some(patience))
            .await;
        as_of = as_of.min(controller.instant_to_seconds(settled.sent_at));
        match settled.outcome {
            Ok(TransactionOutcome::Committed(_)) => break,
            Ok(TransactionOutcome::Conflict { failed_keys: keys }) if !keys.is_empty() => {
                guards.retain(|g| !keys.contains(&g.key));
                broken.extend(keys);
            }
            _ => return None,
        }
    }
    Some((broken, as_of))
}

async fn check_versions(
    controller: &Controller,
    (class, since): (RequestPriority, f64),
    guards: Vec<Condition>,
) -> Option<VersionCheckResult> {
    let (reply, answer) = oneshot::channel();
    let query = VersionCheck {
        priority: class,
        unanswered_since: since,
        requested_at: controller.now(),
        conditions: guards,
        reply,
    };
    controller.version_checks.try_send(query).ok()?;
    answer.await.ok()?
}

/// What is true of a job now; `None` if that can't be known. Between the last
/// look at the clock and the caller's answer there is no await.
async fn lookup(
    controller: &Controller,
    class: RequestPriority,
    since: f64,
    id: &str,
) -> Option<JobLookup> {
    let guard = |key: String, version| Condition { key, version };
    // Once for each turn that a job's state may take, and once more.
    for _ in 0..4 {
        let fresh = |as_of: f64| controller.now() - as_of <= FRESH_S;
        let known = controller.lock(&controller.jobs).get(id);
        match known {
            Some(CachedJob::Terminal(status, done)) => return Some(JobLookup::Over(status, done)),
            Some(CachedJob::Active(version)) => {
                let guards = vec![guard(active_job_key(id), version)];
                let verdict = check_versions(controller, (class, since), guards).await?;
                if verdict.holds[0] {
                    if fresh(verdict.as_of) {
                        return Some(JobLookup::Open);
                    }
                    continue;
                }
                controller.lock(&controller.jobs).mark_stale(id, version);
            }
            Some(CachedJob::Stale) | None => {
                if known.is_none() {
                    controller.record_unknown_job();
                }
                let guards = vec![guard(active_job_key(id), 0), guard(terminal_job_key(id), 0)];
                let verdict = check_versions(controller, (class, since), guards).await?;
                let [open, over] = [!verdict.holds[0], !verdict.holds[1]];
                if !open && !over {
                    if fresh(verdict.as_of) {
                        return Some(JobLookup::Unknown);
                    }
                    continue;
                }
                let asked = controller.now();
                if open
                    && let Some(row) = controller
                        .store
                        .get(class, &active_job_key(id))
                        .await
                        .ok()?
                {
                    controller
                        .lock(&controller.jobs)
                        .insert(id, CachedJob::Active(row.version));
                    if fresh(asked) {
                        return Some(JobLookup::Open);
                    }
                    continue;
                }
                if let Some(row) = controller
                    .store
                    .get(class, &terminal_job_key(id))
                    .await
                    .ok()?
                {
                    let record: TerminalJobRecord = serde_json::from_value(row.value).ok()?;
                    controller
                        .lock(&controller.jobs)
                        .insert(id, CachedJob::Terminal(record.status, record.done));
                }
            }
        }
    }
    None
}

/// Reads a job's records: what a transaction about it met. `None` if that can't be
/// known, or the job has no record.
async fn read_job_records(controller: &Controller, id: &str) -> Option<JobLookup> {
    let asked = controller.now();
    if let Some(row) = controller
        .store
        .get(RequestPriority::Users, &active_job_key(id))
        .await
        .ok()?
    {
        controller
            .lock(&controller.jobs)
            .insert(id, CachedJob::Active(row.version));
        return (controller.now() - asked <= FRESH_S).then_some(JobLookup::Open);
    }
    let row = controller
        .store
        .get(RequestPriority::Users, &terminal_job_key(id))
        .await
        .ok()??;
    let record: TerminalJobRecord = serde_json::from_value(row.value).ok()?;
    let known = CachedJob::Terminal(record.status, record.done);
    controller.lock(&controller.jobs).insert(id, known);
    Some(JobLookup::Over(record.status, record.done))
}

fn job_response(controller: &Controller, id: &str, found: JobLookup) -> Option<JobResponse> {
    let (status, done, running) = match found {
        JobLookup::Unknown => return None,
        JobLookup::Over(status, done) => (status, done, 0),
        JobLookup::Open => {
            let own = controller.with_cluster(|c| c.task_counts(id)).flatten();
            let (done, running) = own.unwrap_or_else(|| {
                let mut counts = controller.lock(&controller.task_counts);
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
    Some(JobResponse {
        done: Some(done),
        running: Some(running),
        ..answer(id, status)
    })
}

/// Reads all open jobs' versions whenever this node has been asked about several
/// that it knows nothing of, as after a start: one request for hundreds, where
/// each would cost two and a failed comparison. No oftener than once a lease.
pub async fn refresh_active_jobs(controller: Arc<Controller>) {
    let pause = Duration::from_secs_f64(controller.settings.deployment.workers.lease_s);
    loop {
        controller.wake_job_refresh.notified().await;
        if let Ok((rows, _)) = controller
            .store
            .list(RequestPriority::Maintenance, "o/")
            .await
        {
            cache_active_jobs(
                &controller,
                rows.iter().map(|r| (r.key.as_str(), r.version)),
            );
            *controller.lock(&controller.unknown_job_requests) = 0;
            tokio::time::sleep(pause).await;
        } else {
            tokio::time::sleep(pause / 16).await;
            controller.wake_job_refresh.notify_one();
        }
    }
}

/// Takes up versions of open jobs' records, as far as nothing is known of them.
/// Before a user is told, the state service is asked whether they still hold.
pub fn cache_active_jobs<'a>(controller: &Controller, rows: impl Iterator<Item = (&'a str, u64)>) {
    let mut jobs = controller.lock(&controller.jobs);
    for (key, version) in rows {
        if let Some(id) = key.strip_prefix("o/")
            && jobs.get(id).is_none()
        {
            jobs.insert(id, CachedJob::Active(version));
        }
    }
}

/// `GET /work/{id}`
pub async fn job_status(controller: &Controller, id: &str) -> Reply {
    if !is_valid_job_id(id) {
        return Reply::Rejected(404, "no such job".into());
    }
    let (now, memory_s) = (controller.now(), controller.caller_expiry_s());
    let since = controller
        .lock(&controller.pending_callers)
        .record_request(id, now, memory_s);
    let Some(what) = lookup(controller, RequestPriority::Polls, since, id).await else {
        return retry_later();
    };
    controller
        .lock(&controller.pending_callers)
        .record_response(id);
    match job_response(controller, id, what) {
        Some(answer) => Reply::Job(200, answer),
        None => Reply::Rejected(404, "no such job".into()),
    }
}

/// `POST /work`
pub async fn submit(controller: &Controller, body: &[u8]) -> Reply {
    let value: Value = match serde_json::from_slice(body) {
        Ok(value) => value,
        Err(error) => return Reply::Rejected(400, format!("not JSON: {error}")),
    };
    let Some(object) = value.as_object() else {
        return Reply::Rejected(400, "not a JSON object".into());
    };
    let id = match object.get("nameId").and_then(Value::as_str) {
        Some(id) if is_valid_job_id(id) => id.to_string(),
        _ => return Reply::Rejected(400, "nameId must be 'req-' followed by digits".into()),
    };
    // A known job is answered for before anything else is looked at.
    if controller.lock(&controller.jobs).get(&id).is_some() {
        match resubmit_idempotently(controller, &id).await {
            Ok(Some(reply)) | Err(reply) => return reply,
            Ok(None) => {}
        }
    }
    let refusal = match serde_json::from_value::<JobSpec>(value) {
        Err(error) => Err((400, error.to_string())),
        Ok(spec) => match spec.validate() {
            Err(error) => Err((400, error.to_string())),
            Ok(()) => {
                let types = controller.catalogue.get();
                match types {
                    None => {
                        return match resubmit_idempotently(controller, &id).await {
                            Ok(Some(reply)) => reply,
                            _ => Reply::RetryLater("the machine types are not known yet".into(), 1),
                        };
                    }
                    Some(types) => check_feasible(&spec, &controller.settings.teams(), &types)
                        .map(|()| spec)
                        .map_err(|error| (422, error)),
                }
            }
        },
    };
    match refusal {
        Err((status, error)) => match resubmit_idempotently(controller, &id).await {
            Ok(Some(reply)) | Err(reply) => reply,
            Ok(None) => Reply::Rejected(status, error),
        },
        Ok(spec) => accept(controller, &id, spec).await,
    }
}

async fn resubmit_idempotently(controller: &Controller, id: &str) -> Result<Option<Reply>, Reply> {
    match lookup(controller, RequestPriority::Users, controller.now(), id).await {
        None => Err(retry_later()),
        Some(what) => {
            Ok(job_response(controller, id, what).map(|a| Reply::Job(200, answer(id, a.status))))
        }
    }
}

async fn accept(controller: &Controller, id: &str, spec: JobSpec) -> Reply {
    let record = ActiveJobRecord {
        spec,
        at: controller.time_of_day(),
    };
    let Ok(value) = serde_json::to_value(&record) else {
        return Reply::Rejected(400, "the submission can't be kept".into());
    };
    if value.to_string().len() as f64
        > controller.settings.deployment.store.max_value_kib * 1024.0 * 0.9
    {
        return Reply::Rejected(400, "the submission is too long to be kept".into());
    }
    let guard = |key| Condition { key, version: 0 };
    let txn = Transaction {
        conditions: vec![guard(active_job_key(id)), guard(terminal_job_key(id))],
        writes: vec![Write::Set {
            key: active_job_key(id),
            value,
            lease: None,
        }],
    };
    // The guards make it safe to send it again when no answer came: the record
    // of a job is made once, and never again after the job is over.
    let settled = controller
        .store
        .commit_with_retries(RequestPriority::Users, &txn, Some(PATIENCE))
        .await;
    match settled.outcome {
        Ok(TransactionOutcome::Committed(version)) => {
            controller
                .lock(&controller.jobs)
                .insert(id, CachedJob::Active(version));
            return Reply::Job(201, answer(id, JobStatus::Pending));
        }
        // Known already, perhaps by an earlier copy of this submission.
        Ok(TransactionOutcome::Conflict { .. }) => {
            return match read_job_records(controller, id)
                .await
                .and_then(|w| job_response(controller, id, w))
            {
                Some(known) => Reply::Job(200, answer(id, known.status)),
                None => retry_later(),
            };
        }
        Ok(TransactionOutcome::LeaseExpired) | Err(_) => {}
    }
    Reply::RetryLater("the job can't be kept now".into(), 1)
}

/// `POST /work/{id}/abort`
pub async fn cancel(controller: &Controller, id: &str) -> Reply {
    if !is_valid_job_id(id) {
        return Reply::Rejected(404, "no such job".into());
    }
    for _ in 0..3 {
        match lookup(controller, RequestPriority::Users, controller.now(), id).await {
            None => return retry_later(),
            Some(JobLookup::Unknown) => return Reply::Rejected(404, "no such job".into()),
            Some(JobLookup::Over(status, _)) => return Reply::Job(200, answer(id, status)),
            Some(JobLookup::Open) => {}
        }
        let row = match controller
            .store
            .get(RequestPriority::Users, &active_job_key(id))
            .await
        {
            Ok(Some(row)) => row,
            Ok(None) => continue,
            Err(_) => return retry_later(),
        };
        let Ok(record) = serde_json::from_value::<ActiveJobRecord>(row.value) else {
            return retry_later();
        };
        let done = controller
            .with_cluster(|c| c.task_counts(id))
            .flatten()
            .map_or(0, |c| c.0);
        let over = TerminalJobRecord {
            status: JobStatus::Cancelled,
            done: if record.spec.shape == Shape::Service {
                0
            } else {
                done
            },
        };
        let Ok(value) = serde_json::to_value(&over) else {
            return retry_later();
        };
        let txn = Transaction {
            conditions: vec![Condition {
                key: active_job_key(id),
                version: row.version,
            }],
            writes: vec![
                Write::Remove {
                    key: active_job_key(id),
                },
                Write::Set {
                    key: terminal_job_key(id),
                    value,
                    lease: None,
                },
            ],
        };
        let settled = controller
            .store
            .commit_with_retries(RequestPriority::Users, &txn, Some(PATIENCE))
            .await;
        match settled.outcome {
            Ok(TransactionOutcome::Committed(_)) => {
                controller
                    .lock(&controller.jobs)
                    .insert(id, CachedJob::Terminal(JobStatus::Cancelled, over.done));
                let now = controller.now();
                controller.with_cluster(|c| c.remove_job(id, now));
                controller.wake_scheduler.notify_one();
                return Reply::Job(200, answer(id, JobStatus::Cancelled));
            }
            // Over by now, perhaps by an earlier copy of this cancellation.
            Ok(_) => {
                if let Some(JobLookup::Over(status, _)) = read_job_records(controller, id).await {
                    return Reply::Job(200, answer(id, status));
                }
            }
            Err(_) => return retry_later(),
        }
    }
    retry_later()
}
