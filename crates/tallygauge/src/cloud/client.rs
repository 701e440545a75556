//! HTTP client of the cloud provider.

use crate::controller::Controller;

use serde::{Serialize, de::DeserializeOwned};
use std::time::Duration;
use tallygauge_store::{
    http::{HttpResult, RequestError},
    is_first_occurrence,
};
use warp::http::{Method, StatusCode};

/// Timeout of a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(4);

/// Text in the body of a response by which the provider reports that it currently has
/// no machine of the requested kind. It distinguishes this response from an outage,
/// which has the same status.
const NO_CAPACITY_TEXT: &[u8] = b"no capacity";

/// Why a request to the cloud provider has no result.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(super) enum CloudError {
    /// The request was certainly not executed: the provider could not serve it now, or it
    /// was not sent.
    #[error("request not executed by the cloud provider")]
    NotExecuted,
    /// The provider does not accept the request, and would not if it were repeated.
    #[error("request rejected by the cloud provider")]
    Rejected,
    /// The provider currently has no machine of the requested kind.
    #[error("no capacity at the cloud provider")]
    NoCapacity,
    /// The request may have been executed, or may still be executed.
    #[error("no usable response from the cloud provider")]
    Indeterminate,
}

/// Sends a request and returns the status and body of the response.
///
/// # Errors
/// If there is no response.
pub(super) async fn send<B: Serialize>(
    controller: &Controller,
    method: Method,
    path: &str,
    body: Option<&B>,
) -> HttpResult {
    let url = format!("http://{}{path}", controller.settings.services.cloud);
    controller
        .http
        .call(method, &url, body, REQUEST_TIMEOUT)
        .await
}

/// Sends a request and decodes the response.
///
/// # Errors
/// If the provider rejects the request, doesn't respond, or sends a malformed response.
pub(super) async fn call<B: Serialize, T: DeserializeOwned>(
    controller: &Controller,
    method: Method,
    path: &str,
    body: Option<&B>,
) -> Result<T, CloudError> {
    match send(controller, method, path, body).await {
        Ok((StatusCode::OK, bytes)) => decode(path, &bytes),
        Ok((StatusCode::SERVICE_UNAVAILABLE, bytes)) if reports_no_capacity(&bytes) => {
            Err(CloudError::NoCapacity)
        }
        Ok((status, _)) => {
            tracing::debug!(
                status = status.as_u16(),
                path,
                "cloud provider rejected request"
            );
            Err(if status == StatusCode::BAD_REQUEST {
                CloudError::Rejected
            } else {
                CloudError::NotExecuted
            })
        }
        Err(RequestError::NotSent) => Err(CloudError::NotExecuted),
        Err(RequestError::NoResponse) => Err(CloudError::Indeterminate),
    }
}

fn decode<T: DeserializeOwned>(path: &str, bytes: &[u8]) -> Result<T, CloudError> {
    serde_json::from_slice(bytes).map_err(|error| {
        if is_first_occurrence(&format!("cloud: {error}")) {
            tracing::warn!(%error, path, "malformed response from the cloud provider, treated as no response");
        }
        CloudError::Indeterminate
    })
}

fn reports_no_capacity(body: &[u8]) -> bool {
    body.windows(NO_CAPACITY_TEXT.len())
        .any(|window| window == NO_CAPACITY_TEXT)
}
