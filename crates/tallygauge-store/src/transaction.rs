//! Compare-and-swap transactions, each sent once, without retries.

use crate::{
    RequestPriority, StoreClient, StoreError, TransactionOutcome,
    client::{StoreRequest, decode},
    error::NotExecutedReason,
};
use hyper::{Method, StatusCode};
use tallygauge_protocol::state::{ConflictResponse, RevisionResponse, Transaction, Write};

/// Path of transactions. The round-trip time is measured on requests to this path.
pub(crate) const TRANSACTION_PATH: &str = "/multi";

/// Text in the body of a 400 response when a write is attached to an expired lease.
const LEASE_EXPIRED_TEXT: &[u8] = b"no such lease";

/// Maximum number of a transaction's conditions that an error message lists.
const MAX_DESCRIBED_CONDITIONS: usize = 3;

impl StoreClient {
    /// Acquires a permit for a transaction from the request budget; `false` if none was
    /// granted in time.
    pub(crate) async fn acquire_permit(
        &self,
        priority: RequestPriority,
        transaction: &Transaction,
    ) -> bool {
        let writes = transaction.writes.len();
        self.budget.acquire(priority, writes).await
    }

    /// Sends a transaction once.
    ///
    /// # Errors
    /// [`StoreError::NotExecuted`] if the transaction was certainly not committed. After
    /// any other error it may have been committed, or may be committed later.
    pub async fn transact(
        &self,
        priority: RequestPriority,
        transaction: &Transaction,
    ) -> Result<TransactionOutcome, StoreError> {
        if !self.acquire_permit(priority, transaction).await {
            return Err(StoreError::not_executed(
                describe_transaction(transaction),
                NotExecutedReason::BudgetExhausted,
            ));
        }
        self.send_transaction(transaction).await
    }

    /// Sends a transaction for which a permit has already been acquired.
    pub(crate) async fn send_transaction(
        &self,
        transaction: &Transaction,
    ) -> Result<TransactionOutcome, StoreError> {
        let request = StoreRequest {
            method: Method::POST,
            path: TRANSACTION_PATH,
            body: Some(transaction),
            timeout: self.timeout,
        };
        let response = self.exchange(request).await;
        let (status, body) = response
            .map_err(|failure| failure.into_store_error(describe_transaction(transaction)))?;
        match status {
            StatusCode::OK => {
                let committed = decode::<RevisionResponse>(TRANSACTION_PATH, &body)?;
                Ok(TransactionOutcome::Committed(committed.revision))
            }
            StatusCode::CONFLICT => Ok(self.conflict(transaction, &body)),
            StatusCode::BAD_REQUEST if contains(&body, LEASE_EXPIRED_TEXT) => {
                Ok(TransactionOutcome::LeaseExpired)
            }
            StatusCode::BAD_REQUEST => Err(invalid_request(transaction, &body)),
            _ => Err(StoreError::unexpected_status(
                describe_transaction(transaction),
                status,
            )),
        }
    }

    /// Builds the outcome of a transaction whose conditions failed. The store counts a
    /// failed comparison (a transaction without writes) as a write, so the budget is
    /// charged for one.
    fn conflict(&self, transaction: &Transaction, body: &[u8]) -> TransactionOutcome {
        if transaction.writes.is_empty() {
            self.budget.charge_failed_comparison();
        }
        // Even if the failed keys can't be decoded, status 409 proves that the
        // transaction was not committed.
        let failed_keys = decode::<ConflictResponse>(TRANSACTION_PATH, body)
            .map_or_else(|_| Vec::new(), |conflict| conflict.failed);
        TransactionOutcome::Conflict { failed_keys }
    }
}

/// Describes a transaction for error messages: its number of writes and conditions, and
/// its first conditions.
pub(crate) fn describe_transaction(transaction: &Transaction) -> String {
    let conditions: Vec<String> = transaction
        .conditions
        .iter()
        .take(MAX_DESCRIBED_CONDITIONS)
        .map(|condition| format!("{} at version {}", condition.key, condition.version))
        .collect();
    format!(
        "transaction of {} writes on {} conditions, first [{}]",
        transaction.writes.len(),
        transaction.conditions.len(),
        conditions.join(", ")
    )
}

/// Logs a transaction that the store rejected with 400, and returns its error.
fn invalid_request(transaction: &Transaction, body: &[u8]) -> StoreError {
    let (largest_key, largest_bytes) = largest_write(transaction);
    tracing::error!(
        response = %String::from_utf8_lossy(body),
        writes = transaction.writes.len(),
        largest_key,
        largest_bytes,
        "key-value store rejected a transaction as malformed"
    );
    let request = describe_transaction(transaction);
    StoreError::not_executed(request, NotExecutedReason::InvalidRequest)
}

/// Key of the transaction's longest encoded value, and the length of that value in
/// bytes.
fn largest_write(transaction: &Transaction) -> (&str, usize) {
    let sizes = transaction.writes.iter().map(|write| match write {
        Write::Set { key, value, .. } => (key.as_str(), value.to_string().len()),
        Write::Remove { key } => (key.as_str(), 0),
    });
    sizes.max_by_key(|(_, bytes)| *bytes).unwrap_or_default()
}

fn contains(body: &[u8], text: &[u8]) -> bool {
    body.windows(text.len()).any(|window| window == text)
}
