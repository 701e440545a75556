//! Requests: path, query and body as operations, and the role each needs.

use serde::{Deserialize, de::DeserializeOwned};
use tallygauge_wire::{
    ops::{DrainRequest, DrainScope, MAX_PAGE, Role},
    users::{JobStatus, valid_job_id},
};

/// Why a request is not one: status and a sentence.
pub type Refusal = (u16, String);

/// Which jobs to list.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobQuery {
    /// Of this team.
    pub team: Option<String>,
    /// Of this class.
    pub class: Option<String>,
    /// In this state; without one, all that are open.
    pub status: Option<JobStatus>,
    /// After this id.
    pub after: Option<String>,
    /// At most so many.
    pub limit: Option<usize>,
}

/// Which machines to list.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MachineQuery {
    /// In this zone.
    pub zone: Option<String>,
    /// Of this type.
    #[serde(rename = "type")]
    pub machine_type: Option<String>,
    /// In this state.
    pub state: Option<String>,
    /// After this name.
    pub after: Option<String>,
    /// At most so many.
    pub limit: Option<usize>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Nothing {}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct VersionQuery {
    version: Option<u64>,
}

/// Something that a caller asks for.
#[derive(Debug, Clone, PartialEq)]
pub enum Operation {
    /// A page of jobs.
    Jobs(JobQuery),
    /// One job with its tasks.
    Job(String),
    /// Why tasks of a job do not run.
    Why(String),
    /// Submits a job, as users do.
    Submit(Vec<u8>),
    /// Cancels a job, as users do.
    Cancel(String),
    /// A page of machines.
    Machines(MachineQuery),
    /// One machine.
    Machine(String),
    /// Teams' ledgers.
    Teams,
    /// The controllers.
    Nodes,
    /// Sums over everything.
    Overview,
    /// Drains on record.
    Drains,
    /// Sets a drain.
    SetDrain(DrainScope, String, DrainRequest),
    /// Ends a drain, of this version if given.
    ClearDrain(DrainScope, String, Option<u64>),
    /// Metrics of the node that is asked.
    Metrics,
}

fn query<T: DeserializeOwned>(text: &str) -> Result<T, Refusal> {
    serde_urlencoded::from_str(text).map_err(|e| (400, format!("query: {e}")))
}

/// A name as it may stand in a key of the state service.
fn name(text: &str) -> Result<String, Refusal> {
    let plain = |b: u8| b.is_ascii_graphic() && b != b'/' && b != b'%';
    if (1..=100).contains(&text.len()) && text.bytes().all(plain) {
        Ok(text.into())
    } else {
        let what = "a name has 1 to 100 bytes, without blanks, '/' and '%'";
        Err((400, what.into()))
    }
}

fn job(id: &str) -> Result<String, Refusal> {
    if valid_job_id(id) {
        Ok(id.into())
    } else {
        Err((400, "a job's id is 'req-' followed by digits".into()))
    }
}

fn scope(word: &str) -> Result<DrainScope, Refusal> {
    let what = "a drain is for a 'machine', a 'zone' or a 'type'";
    DrainScope::of_word(word).ok_or((400, what.into()))
}

impl Operation {
    /// Reads a request. `path` begins with a slash, `text` is the query
    /// without its question mark.
    ///
    /// # Errors
    /// Status and sentence for a request that is none.
    pub fn parse(method: &str, path: &str, text: &str, body: &[u8]) -> Result<Self, Refusal> {
        let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
        let operation = match (method, parts.as_slice()) {
            ("GET", ["v1", "jobs"]) => {
                let asked: JobQuery = query(text)?;
                return Ok(Operation::Jobs(asked));
            }
            ("GET", ["v1", "machines"]) => return Ok(Operation::Machines(query(text)?)),
            ("DELETE", ["v1", "drains", kind, what]) => {
                let asked: VersionQuery = query(text)?;
                return Ok(Operation::ClearDrain(
                    scope(kind)?,
                    name(what)?,
                    asked.version,
                ));
            }
            ("GET", ["v1", "jobs", id]) => Operation::Job(job(id)?),
            ("GET", ["v1", "jobs", id, "why"]) => Operation::Why(job(id)?),
            ("POST", ["v1", "jobs"]) => Operation::Submit(body.to_vec()),
            ("POST", ["v1", "jobs", id, "cancel"]) => Operation::Cancel(job(id)?),
            ("GET", ["v1", "machines", machine]) => Operation::Machine(name(machine)?),
            ("GET", ["v1", "teams"]) => Operation::Teams,
            ("GET", ["v1", "nodes"]) => Operation::Nodes,
            ("GET", ["v1", "overview"]) => Operation::Overview,
            ("GET", ["v1", "drains"]) => Operation::Drains,
            ("PUT", ["v1", "drains", kind, what]) => {
                let request: DrainRequest =
                    serde_json::from_slice(body).map_err(|e| (400, format!("body: {e}")))?;
                check_drain(&request)?;
                Operation::SetDrain(scope(kind)?, name(what)?, request)
            }
            ("GET", ["metrics"]) => Operation::Metrics,
            _ => return Err((404, "no such request".into())),
        };
        let Nothing {} = query(text)?;
        Ok(operation)
    }

    /// The role that a caller must have at least.
    #[must_use]
    pub fn role(&self) -> Role {
        match self {
            Operation::Submit(_) | Operation::Cancel(_) => Role::Submit,
            Operation::SetDrain(..) | Operation::ClearDrain(..) => Role::Operate,
            _ => Role::See,
        }
    }
}

fn check_drain(request: &DrainRequest) -> Result<(), Refusal> {
    for (what, value) in [("within_s", request.within_s), ("for_s", request.for_s)] {
        if value.is_some_and(|v| !v.is_finite() || !(0.0..=1e9).contains(&v)) {
            return Err((400, format!("{what} must be 0 to 1e9 seconds")));
        }
    }
    if request.why.len() > 500 {
        return Err((400, "why must have 500 bytes at most".into()));
    }
    Ok(())
}

/// Rows of a page, as asked for and allowed.
pub(crate) fn rows(limit: Option<usize>) -> usize {
    limit.unwrap_or(100).clamp(1, MAX_PAGE)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn parse(method: &str, path: &str, query: &str, body: &str) -> Result<Operation, u16> {
        Operation::parse(method, path, query, body.as_bytes()).map_err(|r| r.0)
    }

    #[test]
    fn requests_are_read_and_strange_ones_refused() {
        let jobs = parse("GET", "/v1/jobs", "team=red&status=running&limit=3", "");
        let Ok(Operation::Jobs(asked)) = jobs else {
            panic!("{jobs:?}")
        };
        assert_eq!(
            (asked.team.as_deref(), asked.status, rows(asked.limit)),
            (Some("red"), Some(JobStatus::Running), 3)
        );
        assert_eq!(rows(Some(1 << 40)), MAX_PAGE);
        let drain = parse("PUT", "/v1/drains/zone/a", "", r#"{"within_s":60}"#).unwrap();
        assert_eq!(drain.role(), Role::Operate);
        assert_eq!(
            parse("POST", "/v1/jobs", "", "{}").unwrap().role(),
            Role::Submit
        );
        assert_eq!(parse("GET", "/metrics", "", "").unwrap().role(), Role::See);
        for (method, path, query, body, status) in [
            ("GET", "/v1/jobs", "teem=red", "", 400),
            ("GET", "/v1/jobs", "status=lost", "", 400),
            ("GET", "/v1/jobs/x", "", "", 400),
            ("GET", "/v1/teams", "x=1", "", 400),
            ("GET", "/v2/jobs", "", "", 404),
            ("POST", "/v1/machines", "", "", 404),
            ("PUT", "/v1/drains/rack/a", "", "{}", 400),
            ("PUT", "/v1/drains/zone/a%2fb", "", "{}", 400),
            ("PUT", "/v1/drains/zone/a", "", r#"{"within_s":-1}"#, 400),
            ("PUT", "/v1/drains/zone/a", "", r#"{"within_s":"#, 400),
        ] {
            assert_eq!(
                parse(method, path, query, body),
                Err(status),
                "{path}?{query}"
            );
        }
    }
}
