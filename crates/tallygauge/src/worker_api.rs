//! Dealings with workers: check-ins and direct commands.

use crate::controller::Node;
use std::{sync::Arc, time::Duration};
use tallygauge_protocol::workers::{DirectCommands, Redirect, Report, ReportAnswer};
use tallygauge_scheduler::{DirectMessage, Source, Verdict};
use tallygauge_store::{first_time, http::NoAnswer};

/// An answer to a check-in.
#[derive(Debug, Clone, PartialEq)]
pub enum CheckIn {
    /// 200.
    Take(ReportAnswer),
    /// 421, with the leader if known.
    Elsewhere(Redirect),
    /// 503.
    NotNow,
    /// 400.
    Malformed(String),
}

/// Whether workers have called on this node of late, though it does not lead.
#[must_use]
pub fn called_of_late(node: &Node) -> bool {
    let at = *node.lock(&node.called_at);
    node.now() - at < node.settings.deployment.workers.report_s * 2.0
}

/// Whether this node leads and workers that should call on it do not, for long
/// enough that their leases are in danger.
#[must_use]
pub fn none_call(node: &Node) -> bool {
    let now = node.now();
    let patience = node.settings.deployment.workers.lease_s * 0.3;
    node.lock(&node.lead).as_ref().is_some_and(|lead| {
        let expected = lead
            .cluster
            .as_ref()
            .is_some_and(|c| c.workers.values().any(|w| w.up() || !w.held.is_empty()));
        expected && now - lead.called > patience
    })
}

/// `POST /checkin`
pub fn check_in(node: &Node, body: &[u8]) -> CheckIn {
    // Who does not lead has no use for the report: when a leader is gone, all
    // workers call on the others at once, and are refused before it costs.
    if node.lock(&node.lead).is_none() {
        return elsewhere(node);
    }
    let report: Report = match serde_json::from_slice(body) {
        Ok(report) => report,
        Err(error) => {
            if first_time(&format!("check-in: {error}")) {
                tracing::warn!(%error, "malformed check-in");
            }
            return CheckIn::Malformed(error.to_string());
        }
    };
    let now = node.now();
    let fence = node.fence_s();
    let mut deposed = None;
    let mut changed = false;
    let answer = {
        let mut lead = node.lock(&node.lead);
        match lead.as_mut() {
            None => None,
            Some(lead) if report.token > lead.term => {
                deposed = Some(report.token);
                None
            }
            // Whoever leads now may have placed what these workers run, and any
            // node may have cancelled it: an answer would renew their leases.
            Some(lead) if lead.fenced(now, fence) => {
                return CheckIn::NotNow;
            }
            Some(lead) => {
                let term = lead.term;
                let Some(cluster) = lead.cluster.as_mut() else {
                    return CheckIn::NotNow;
                };
                match cluster.on_report(now, &report, Source::CheckIn) {
                    Verdict::Taken | Verdict::Overtaken => {}
                    // A copy of what was answered long ago renews no lease and
                    // brings no orders.
                    Verdict::Stale | Verdict::Dead | Verdict::Deposed(_) => {
                        return CheckIn::NotNow;
                    }
                }
                changed = std::mem::take(&mut cluster.changed);
                let commands = cluster.commands(&report.machine, now);
                cluster.answered(&report.machine, &commands, now);
                lead.called = now;
                Some(ReportAnswer {
                    token: term,
                    commands,
                })
            }
        }
    };
    if let Some(term) = deposed {
        node.hear_of(term, None);
    }
    match answer {
        Some(answer) => {
            if changed {
                node.wake.notify_one();
                node.wake_finish.notify_one();
            }
            CheckIn::Take(answer)
        }
        None => elsewhere(node),
    }
}

/// The answer of a node that does not lead.
fn elsewhere(node: &Node) -> CheckIn {
    *node.lock(&node.called_at) = node.now();
    let leader = node.lock(&node.role).leader.clone();
    match leader {
        Some(name) if name != node.settings.node_name => CheckIn::Elsewhere(Redirect {
            report_to: Some(name),
        }),
        _ => CheckIn::NotNow,
    }
}

/// Sends all direct messages that are due, each in a task of its own; a worker
/// has one under way at most, so their number is bounded. A leader that may not
/// answer workers sends them nothing either.
pub fn dispatch(node: &Arc<Node>) {
    let (now, fence) = (node.now(), node.fence_s());
    let (term, messages) = {
        let mut lead = node.lock(&node.lead);
        let Some(lead) = lead.as_mut().filter(|l| !l.fenced(now, fence)) else {
            return;
        };
        let (term, spare) = (lead.term, node.spare_direct());
        let Some(cluster) = lead.cluster.as_mut() else {
            return;
        };
        (term, cluster.direct_messages(now, spare))
    };
    for message in messages {
        let node = node.clone();
        tokio::spawn(async move { deliver(&node, term, message).await });
    }
}

async fn deliver(node: &Node, term: u64, message: DirectMessage) {
    let body = DirectCommands {
        token: term,
        session: message.session,
        commands: message.commands.clone(),
    };
    let url = format!("http://{}/orders", message.endpoint);
    let timeout = Duration::from_secs_f64(node.settings.deployment.workers.lease_s / 6.0);
    // The task may have had to wait, or the process may have stood still, since
    // the message was made up.
    let result = if node.may_command() {
        let post = warp::http::Method::POST;
        let keep = !node.sockets.few();
        node.http.send(post, &url, Some(&body), timeout, keep).await
    } else {
        Err(NoAnswer::NotSent)
    };
    let report = match &result {
        Ok((status, bytes)) if status.as_u16() == 200 || status.as_u16() == 409 => {
            serde_json::from_slice::<Report>(bytes).ok()
        }
        _ => None,
    };
    let now = node.now();
    let mut deposed = None;
    {
        let mut lead = node.lock(&node.lead);
        let Some(lead) = lead.as_mut().filter(|l| l.term == term) else {
            return;
        };
        let Some(cluster) = lead.cluster.as_mut() else {
            return;
        };
        let never_sent = matches!(result, Err(NoAnswer::NotSent));
        cluster.direct_done(&message, report.is_some(), never_sent, now);
        if let Some(report) = &report
            && report.machine == message.worker
            && let Verdict::Deposed(term) = cluster.on_direct(now, &message, report)
        {
            deposed = Some(term);
        }
    }
    if let Some(term) = deposed {
        node.hear_of(term, None);
    }
    node.wake.notify_one();
    node.wake_finish.notify_one();
}
