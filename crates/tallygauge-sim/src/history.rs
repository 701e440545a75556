//! What users were told of jobs, and whether any answer was older than one before.
//!
//! A job goes from unknown over accepted to done or cancelled, and never back. Its
//! answers are linearizable exactly if no answer that was asked for after another
//! had been given shows an earlier state, and all final states agree. Answers whose
//! requests overlap may come in either order.

use std::collections::BTreeMap;
use tallygauge::user_api::{RelayedReply, Reply};
use tallygauge_protocol::users::{JobResponse, JobStatus};

/// A job's state as an answer shows it, in the order in which it is passed through.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Shown {
    Unknown,
    Open,
    Over(bool),
}

/// One answer: when it was asked for and given, and what it showed.
#[derive(Debug, Clone, Copy)]
struct Answer {
    asked: f64,
    told: f64,
    shown: Shown,
}

/// Answers about jobs.
#[derive(Debug, Default)]
pub struct History {
    answers: BTreeMap<String, Vec<Answer>>,
}

impl History {
    /// Notes an answer that was asked for at `asked` and given at `told`. What
    /// says nothing of the job's state is passed over.
    pub fn record(&mut self, id: &str, asked: f64, told: f64, reply: &Reply) {
        let status = match reply {
            Reply::Job { response, .. } => Some(response.status),
            Reply::Relayed(reply) if matches!(reply.status, 200 | 201) => {
                let Ok(answer) = serde_json::from_slice::<JobResponse>(&reply.body) else {
                    return;
                };
                Some(answer.status)
            }
            Reply::Rejected { status: 404, .. }
            | Reply::Relayed(RelayedReply { status: 404, .. }) => None,
            Reply::Rejected { .. } | Reply::RetryLater { .. } | Reply::Relayed(..) => return,
        };
        let shown = match status {
            None => Shown::Unknown,
            Some(JobStatus::Pending | JobStatus::Running) => Shown::Open,
            Some(JobStatus::Done) => Shown::Over(true),
            Some(JobStatus::Cancelled) => Shown::Over(false),
        };
        let answer = Answer { asked, told, shown };
        self.answers.entry(id.to_string()).or_default().push(answer);
    }

    /// Answers noted.
    pub fn len(&self) -> usize {
        self.answers.values().map(Vec::len).sum()
    }

    /// Whether none is noted.
    pub fn is_empty(&self) -> bool {
        self.answers.is_empty()
    }

    /// Answers that are older than one given before they were asked for, and final
    /// states that disagree.
    pub fn stale_reads(&self) -> Vec<String> {
        let mut wrong = Vec::new();
        for (id, answers) in &self.answers {
            for later in answers {
                for earlier in answers.iter().filter(|e| e.told <= later.asked) {
                    let disagree = matches!(
                        (earlier.shown, later.shown),
                        (Shown::Over(a), Shown::Over(b)) if a != b
                    );
                    if later.shown < earlier.shown || disagree {
                        wrong.push(format!("{id}: {earlier:?} and then {later:?}"));
                    }
                }
            }
        }
        wrong
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn told(status: JobStatus) -> Reply {
        let answer = JobResponse {
            id: "req-1".into(),
            status,
            done: None,
            running: None,
        };
        Reply::Job {
            status: 200,
            response: answer,
        }
    }

    #[test]
    fn an_older_answer_is_found_and_an_overlapping_one_is_not() {
        let gone = || Reply::Rejected {
            status: 404,
            error: String::new(),
        };
        for (second, asked, wrong) in [
            (told(JobStatus::Pending), 1.5, 0),
            (told(JobStatus::Pending), 2.0, 1),
            (gone(), 3.0, 1),
            (told(JobStatus::Cancelled), 3.0, 1),
            (told(JobStatus::Done), 3.0, 0),
        ] {
            let mut history = History::default();
            history.record("req-1", 1.0, 2.0, &told(JobStatus::Done));
            history.record("req-1", asked, 4.0, &second);
            assert_eq!(history.stale_reads().len(), wrong, "{second:?} {asked}");
        }
    }
}
