//! Removal of records that nobody needs any more.

use crate::{
    controller::{Node, batch_key},
    progress::page_writes,
};
use std::{sync::Arc, time::Duration};
use tallygauge_protocol::state::{Guard, Transaction, Write};
use tallygauge_store::{Class, Error, Outcome};

/// Report intervals between two transactions.
const EVERY: f64 = 0.5;

/// Removes obsolete records as long as this node leads. A removal whose answer is
/// lost is made again later: removing twice does no harm, and a page is guarded on
/// its version.
pub async fn run(node: &Node, term_guard: &Guard) {
    let report = node.settings.deployment.workers.report_s;
    let pause = Duration::from_secs_f64(report * EVERY);
    loop {
        tokio::time::sleep(pause).await;
        clean(node, term_guard).await;
    }
}

/// Removes batches whose attempts are over and pages that hold nothing.
async fn clean(node: &Node, term_guard: &Guard) {
    let most = node.settings.deployment.state.txn_ops / 2;
    let Some((batches, pages)) = node.with_cluster(|c| {
        let batches: Vec<Arc<str>> = c.garbage.iter().take(most).cloned().collect();
        let pages = c.pages.empty(most - batches.len());
        (batches, pages)
    }) else {
        return;
    };
    if batches.is_empty() && pages.is_empty() {
        return;
    }
    let mut txn = Transaction {
        guards: vec![term_guard.clone()],
        writes: Vec::new(),
    };
    for name in &batches {
        let key = batch_key(name);
        txn.writes.push(Write::Remove { key });
    }
    page_writes(&mut txn, &pages);
    let outcome = node.state.transact(Class::Progress, &txn).await;
    node.with_cluster(|c| match outcome {
        Ok(Outcome::Made(revision)) => {
            for name in &batches {
                c.garbage.remove(name);
            }
            for page in &pages {
                c.pages.written(page, revision);
            }
        }
        Ok(Outcome::Conflict(_)) | Err(Error::Unknown) => c.pages.doubt(&pages),
        Ok(Outcome::NoLease) | Err(Error::Refused) => {}
    });
}
