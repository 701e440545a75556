//! The floor's counts: kept at the state service, and shown.

use crate::{control::record_bytes, node::Node};
use std::{fmt::Write as _, sync::Arc, time::Duration};
use tallygauge_sched::{Cluster, FloorRecord, Kind};
use tallygauge_state::{Class, Outcome};
use tallygauge_wire::state::{Guard, Transaction, Write};

/// Key of what is kept of the counts.
const FLOOR_KEY: &str = "s/floor";

/// Report intervals between two writes of the counts.
const KEPT_EVERY: f64 = 4.0;

/// Reads what an earlier leader kept. It may be missing or unreadable: counting
/// then begins anew with the jobs that are open.
pub async fn read(node: &Node) -> Option<FloorRecord> {
    let row = node.state.get(Class::Leadership, FLOOR_KEY).await.ok()??;
    match serde_json::from_value(row.value) {
        Ok(record) => Some(record),
        Err(error) => {
            tracing::warn!(%error, "the floor's counts can't be read and begin anew");
            None
        }
    }
}

/// Keeps the counts at the state service, now and then, as long as this node
/// leads. What isn't written for want of budget is written later.
pub async fn keep(node: &Arc<Node>, term_guard: Guard) {
    let pause = node.settings.deployment.workers.report_s * KEPT_EVERY;
    let mut written: Option<FloorRecord> = None;
    loop {
        tokio::time::sleep(Duration::from_secs_f64(pause)).await;
        let Some(record) = node.with_cluster(|c| c.floor_record(record_bytes(node))) else {
            continue;
        };
        if written.as_ref() == Some(&record) {
            continue;
        }
        let Ok(value) = serde_json::to_value(&record) else {
            continue;
        };
        let txn = Transaction {
            guards: vec![term_guard.clone()],
            writes: vec![Write::Set {
                key: FLOOR_KEY.into(),
                value,
                lease: None,
            }],
        };
        if let Ok(Outcome::Made(_)) = node.state.transact(Class::Upkeep, &txn).await {
            written = Some(record);
        }
    }
}

/// Classes (`^`: the largest of one) and teams in one field each: jobs accepted, cancelled, started, done,
/// of these late, of the open ones overdue; `!N` when N jobs come first for it, `?N` when
/// N of them fit nowhere.
#[must_use]
pub fn shown(c: &Cluster) -> (String, String) {
    let (mut classes, mut teams) = (String::new(), String::new());
    for s in c.standings() {
        let (out, of) = match s.key.kind {
            Kind::Class => (&mut classes, ""),
            Kind::Largest => (&mut classes, "^"),
            Kind::Team => (&mut teams, ""),
        };
        let (t, d) = (s.tally, s.demand);
        let accepted = t.done + t.cancelled + u64::from(s.open);
        let started = t.done + t.stopped + u64::from(s.started);
        if !out.is_empty() {
            out.push(' ');
        }
        let _ = write!(
            out,
            "{}{of}:{accepted}/{}/{started}/{}/{}/{}",
            s.key.name, t.cancelled, t.done, t.late, d.overdue
        );
        if d.need > 0 {
            let _ = write!(out, "!{}", d.need);
        }
        if d.unfit > 0 {
            let _ = write!(out, "?{}", d.unfit);
        }
    }
    (classes, teams)
}
