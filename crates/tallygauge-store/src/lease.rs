//! Granting, renewing and revoking the lease of the leader key.

use crate::{
    RequestPriority, StoreClient, StoreError,
    client::{StoreRequest, decode},
};
use hyper::{Method, StatusCode};
use std::time::Duration;
use tallygauge_protocol::state::{LeaseRequest, LeaseResponse};

/// Requested time to live if the caller's does not fit into the 64-bit field.
const FALLBACK_LEASE_TTL_MS: u64 = 600_000;

impl StoreClient {
    /// Grants a lease and returns its id.
    ///
    /// # Errors
    /// If there is no usable response from the store. A lease that it granted all the
    /// same expires.
    pub async fn grant_lease(&self, ttl: Duration) -> Result<u64, StoreError> {
        let path = "/leases";
        let body = LeaseRequest {
            ttl_ms: u64::try_from(ttl.as_millis()).unwrap_or(FALLBACK_LEASE_TTL_MS),
        };
        let request = StoreRequest {
            method: Method::POST,
            path,
            body: Some(&body),
            timeout: self.timeout,
        };
        let (status, body) = self.call(RequestPriority::Leadership, request).await?;
        if status != StatusCode::OK {
            return Err(StoreError::unexpected_status(path, status));
        }
        decode::<LeaseResponse>(path, &body).map(|lease| lease.id)
    }

    /// Renews a lease; `false` if it has expired.
    ///
    /// # Errors
    /// If there is no usable response from the store.
    pub async fn renew_lease(&self, lease: u64, timeout: Duration) -> Result<bool, StoreError> {
        let path = format!("/leases/{lease}/touch");
        let request = StoreRequest::without_body(Method::POST, &path, timeout);
        let (status, _) = self.call(RequestPriority::Leadership, request).await?;
        match status {
            StatusCode::OK => Ok(true),
            StatusCode::NOT_FOUND => Ok(false),
            _ => Err(StoreError::unexpected_status(path, status)),
        }
    }

    /// Revokes a lease before it expires.
    ///
    /// # Errors
    /// If there is no usable response from the store. The lease then expires on its own
    /// at the latest.
    pub async fn revoke_lease(&self, lease: u64) -> Result<(), StoreError> {
        let path = format!("/leases/{lease}");
        let request = StoreRequest::without_body(Method::DELETE, &path, self.timeout);
        self.call(RequestPriority::Leadership, request).await?;
        Ok(())
    }
}
