//! Requests to the cloud provider.

use crate::controller::Controller;

use serde::{Serialize, de::DeserializeOwned};
use std::time::Duration;
use tallygauge_store::{
    http::{HttpResult, RequestError},
    is_first_occurrence,
};
use warp::http::{Method, StatusCode};

/// Timeout of a request.
const TIMEOUT: Duration = Duration::from_secs(4);

/// Part of the body by which the provider says that it has no such machine now,
/// which tells this answer from an outage with the same status.
const NO_CAPACITY_TEXT: &[u8] = b"no capacity";

/// Why a request to the cloud provider has no result.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(super) enum CloudError {
    /// Certainly not executed: the provider said so, or was not reached.
    #[error("refused by the cloud provider")]
    Refused,
    /// The provider has no machine of this kind now.
    #[error("no capacity at the cloud provider")]
    NoCapacity,
    /// May have been executed, or may yet be.
    #[error("no usable answer from the cloud provider")]
    Unknown,
}

/// Sends a request; the status and body of the answer.
///
/// # Errors
/// When there is no answer.
pub(super) async fn send<B: Serialize>(
    controller: &Controller,
    method: Method,
    path: &str,
    body: Option<&B>,
) -> HttpResult {
    let url = format!("http://{}{path}", controller.settings.services.cloud);
    controller.http.call(method, &url, body, TIMEOUT).await
}

/// Sends a request and decodes its answer.
///
/// # Errors
/// When the provider refuses, does not answer, or answers something malformed.
pub(super) async fn call<B: Serialize, T: DeserializeOwned>(
    controller: &Controller,
    method: Method,
    path: &str,
    body: Option<&B>,
) -> Result<T, CloudError> {
    match send(controller, method, path, body).await {
        Ok((StatusCode::OK, bytes)) => decode(path, &bytes),
        Ok((StatusCode::SERVICE_UNAVAILABLE, bytes)) if says_no_capacity(&bytes) => {
            Err(CloudError::NoCapacity)
        }
        Ok((status, _)) => {
            tracing::debug!(status = status.as_u16(), path, "cloud refused request");
            Err(CloudError::Refused)
        }
        Err(RequestError::NotSent) => Err(CloudError::Refused),
        Err(RequestError::NoResponse) => Err(CloudError::Unknown),
    }
}

fn decode<T: DeserializeOwned>(path: &str, bytes: &[u8]) -> Result<T, CloudError> {
    serde_json::from_slice(bytes).map_err(|error| {
        if is_first_occurrence(&format!("cloud: {error}")) {
            tracing::warn!(%error, path, "malformed response from the cloud, taken as none");
        }
        CloudError::Unknown
    })
}

fn says_no_capacity(body: &[u8]) -> bool {
    body.windows(NO_CAPACITY_TEXT.len())
        .any(|window| window == NO_CAPACITY_TEXT)
}
