//! Leader election. The elected controller holds the leader key under a lease. The term
//! key counts the elections and is a condition of every write of the leader.

use super::stored_value::{ReadError, decode_value};
use crate::{
    controller::Controller,
    leadership::Leadership,
    store_keys::{ELECTION_PREFIX, LEADER_KEY, TERM_KEY},
};
use serde::{Deserialize, Serialize};
use tallygauge_protocol::state::{Condition, Transaction, Write};
use tallygauge_store::{Listing, RequestPriority, TransactionOutcome, WatchOutcome};

/// Timeout of a watch of the term, in multiples of the leader lease's time to live. It
/// limits how long a silently lost watch can delay an election.
const WATCH_TIMEOUT_TTLS: u32 = 2;

/// The longest pause after a failed watch is the leader lease's time to live divided by
/// this.
const WATCH_RETRY_DIVISOR: u32 = 4;

/// The longest wait for a campaign's outcome is the leader lease's time to live divided by
/// this.
const CAMPAIGN_TIMEOUT_DIVISOR: u32 = 2;

/// Value of the leader key, which the store removes when the lease ends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct LeaderRecord {
    #[serde(rename = "node")]
    controller: String,
    term: u64,
    lease: u64,
}

/// Value of the term key, which outlives every lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct TermRecord {
    term: u64,
    #[serde(rename = "node")]
    controller: String,
}

/// The term and its leader, as read from the store.
pub(super) struct ObservedTerm {
    leader: Option<LeaderRecord>,
    /// The term; 0 before the first election.
    pub(super) term: u64,
    /// Version of the term key; 0 before the first election.
    term_version: u64,
    /// Revision of the store at which the term was read.
    pub(super) revision: u64,
}

impl ObservedTerm {
    /// Whether a controller holds the leader key.
    pub(super) fn has_leader(&self) -> bool {
        self.leader.is_some()
    }

    /// Name of the controller that holds the leader key.
    pub(super) fn leader_name(&self) -> Option<&str> {
        self.leader
            .as_ref()
            .map(|leader| leader.controller.as_str())
    }
}

/// Reads the term and its leader.
///
/// # Errors
/// Returns an error when the store does not answer or the term record is malformed. A
/// malformed leader record is read as no leader, which is safe: a campaign fails as long
/// as the leader key exists.
pub(super) async fn read_term(controller: &Controller) -> Result<ObservedTerm, ReadError> {
    let Listing { entries, revision } = controller
        .store
        .list(RequestPriority::Leadership, ELECTION_PREFIX)
        .await?;
    let mut observed = ObservedTerm {
        leader: None,
        term: 0,
        term_version: 0,
        revision,
    };
    for row in entries {
        if row.key == LEADER_KEY {
            observed.leader = serde_json::from_value(row.value).ok();
        } else if row.key == TERM_KEY {
            observed.term_version = row.version;
            observed.term = decode_value::<TermRecord>(row)?.term;
        }
    }
    Ok(observed)
}

/// Waits until the leader or the term changes after `revision`, or until the watch times
/// out or fails.
pub(super) async fn wait_for_term_change(controller: &Controller, revision: u64) {
    let ttl = controller.leader_lease_ttl();
    let timeout = ttl * WATCH_TIMEOUT_TTLS;
    match controller
        .store
        .watch(ELECTION_PREFIX, revision, timeout)
        .await
    {
        Ok(WatchOutcome::Events(_) | WatchOutcome::Compacted) => {}
        Err(_) => tokio::time::sleep(controller.jitter(ttl / WATCH_RETRY_DIVISOR)).await,
    }
}

/// Campaigns for the term after the observed one, under a lease that was requested at
/// `lease_requested_at`. Returns `None` when another controller was elected first or when
/// the outcome cannot be determined.
pub(super) async fn campaign(
    controller: &Controller,
    observed: &ObservedTerm,
    lease: u64,
    lease_requested_at: f64,
) -> Option<Leadership> {
    let leader = LeaderRecord {
        controller: controller.settings.node_name.clone(),
        term: observed.term + 1,
        lease,
    };
    let started_at = controller.now();
    let transaction = election_transaction(observed, &leader)?;
    let timeout = Some(controller.leader_lease_ttl() / CAMPAIGN_TIMEOUT_DIVISOR);
    let result = controller
        .store
        .commit_with_retries(RequestPriority::Leadership, &transaction, timeout)
        .await;
    let term_version = match result.outcome {
        Ok(TransactionOutcome::Committed(version)) => version,
        _ if !result.has_indeterminate_attempt => return None,
        // An earlier attempt may have been executed; the stored records show whether it was.
        _ => confirm_election(controller, &leader).await?,
    };
    tracing::info!(term = leader.term, "elected leader");
    Some(Leadership {
        term: leader.term,
        term_condition: Condition {
            key: TERM_KEY.into(),
            version: term_version,
        },
        cluster: None,
        term_confirmed_at: started_at,
        lease_renewed_at: lease_requested_at,
        watch_confirmed_at: started_at,
        watched_revision: 0,
        last_worker_heartbeat_at: controller.now(),
    })
}

/// The transaction that sets the leader key and increments the term, on the conditions
/// that the leader key is absent and that the term is still the observed one.
fn election_transaction(observed: &ObservedTerm, leader: &LeaderRecord) -> Option<Transaction> {
    let term = TermRecord {
        term: leader.term,
        controller: leader.controller.clone(),
    };
    let leader_is_absent = Condition {
        key: LEADER_KEY.into(),
        version: 0,
    };
    let term_is_unchanged = Condition {
        key: TERM_KEY.into(),
        version: observed.term_version,
    };
    let set_leader = Write::Set {
        key: LEADER_KEY.into(),
        value: serde_json::to_value(leader).ok()?,
        lease: Some(leader.lease),
    };
    let set_term = Write::Set {
        key: TERM_KEY.into(),
        value: serde_json::to_value(term).ok()?,
        lease: None,
    };
    Some(Transaction {
        conditions: vec![leader_is_absent, term_is_unchanged],
        writes: vec![set_leader, set_term],
    })
}

/// Returns the version of the term key if the stored records show that this controller was
/// elected.
async fn confirm_election(controller: &Controller, leader: &LeaderRecord) -> Option<u64> {
    let current = read_term(controller).await.ok()?;
    let is_elected = current.leader.as_ref() == Some(leader) && current.term == leader.term;
    is_elected.then_some(current.term_version)
}

#[cfg(test)]
mod tests;
