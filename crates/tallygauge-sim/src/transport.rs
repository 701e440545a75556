//! The simulated network between a controller and the simulated store, cloud and workers:
//! delivers each request after the link delay, and injects the faults that are set.

use crate::{Simulation, exchanges::Request, repeated_requests::AnsweredRequest};
use serde_json::Value;
use std::{pin::Pin, sync::Arc, time::Duration};
use tallygauge_store::http::{HttpResult, RequestError, Transport};
use warp::http::{Method, StatusCode};

/// Address of the simulated store in the settings of controllers.
pub(crate) const STORE_ADDRESS: &str = "127.0.0.1:7002";

/// Address of the simulated cloud in the settings of controllers.
pub(crate) const CLOUD_ADDRESS: &str = "127.0.0.1:7001";

/// How long a request that gets no response hangs: longer than any client's timeout.
const HANG_TIME: Duration = Duration::from_secs(3600);

/// An HTTP response of a simulated component: status code and body.
pub(crate) type Response = (StatusCode, bytes::Bytes);

/// Transport of a controller's HTTP client. Requests to any host other than the store and the
/// cloud are direct commands to the worker at that address.
pub(crate) struct SimulatedTransport {
    pub(crate) simulation: Arc<Simulation>,
    /// Name of the controller that sends the requests.
    pub(crate) controller: String,
}

impl Transport for SimulatedTransport {
    fn send(
        &self,
        method: Method,
        url: String,
        body: bytes::Bytes,
    ) -> Pin<Box<dyn Future<Output = HttpResult> + Send>> {
        let (simulation, controller) = (self.simulation.clone(), self.controller.clone());
        Box::pin(async move { deliver(&simulation, &controller, &method, &url, &body).await })
    }
}

/// Delivers a request to the store, cloud or worker in its URL and returns the response.
async fn deliver(
    simulation: &Simulation,
    controller: &str,
    method: &Method,
    url: &str,
    body: &[u8],
) -> HttpResult {
    let link_delay_s = simulation.state.lock().unwrap().faults.link_delay_s;
    tokio::time::sleep(Duration::from_secs_f64(link_delay_s)).await;
    let rest = url.strip_prefix("http://").unwrap_or_default();
    let (host, path) = rest.split_at(rest.find('/').unwrap_or(rest.len()));
    let request = format!("{method} {path}");
    simulation
        .wait_at_fault_point(controller, &request, false)
        .await;
    let number = simulation.record_request(&Request {
        from: controller,
        to: host,
        method: method.as_str(),
        path,
        body,
    });
    let response = execute(simulation, controller, method, host, path, body).await;
    simulation.record_outcome(number, &response);
    let request_sent = AnsweredRequest {
        method: method.clone(),
        host: host.to_string(),
        path: path.to_string(),
        body: body.to_vec(),
    };
    simulation.record_answered(request_sent, &response);
    simulation
        .wait_at_fault_point(controller, &request, true)
        .await;
    let truncated = simulation.state.lock().unwrap().faults.truncate_responses;
    response.map(|(code, body)| (code, truncate_if(truncated, &body)))
}

/// Executes a request at the store, cloud or worker with this address.
async fn execute(
    simulation: &Simulation,
    controller: &str,
    method: &Method,
    host: &str,
    path: &str,
    body: &[u8],
) -> HttpResult {
    match host {
        STORE_ADDRESS => {
            simulation
                .handle_store_request(controller, method, path, body)
                .await
        }
        CLOUD_ADDRESS => Ok(simulation.handle_cloud_request(method, path, body)),
        worker => {
            simulation
                .deliver_direct_commands(controller, worker, body)
                .await
        }
    }
}

/// The body of a response, or its first half if it is truncated.
fn truncate_if(truncated: bool, body: &bytes::Bytes) -> bytes::Bytes {
    let kept = if truncated {
        body.len() / 2
    } else {
        body.len()
    };
    body.slice(..kept)
}

/// Hangs until any client has timed out, like a request that gets no response.
pub(crate) async fn hang() -> HttpResult {
    tokio::time::sleep(HANG_TIME).await;
    Err(RequestError::NoResponse)
}

/// A response with status 200.
pub(crate) fn ok(body: Value) -> Response {
    status(200, body)
}

/// A response with this status code.
pub(crate) fn status(code: u16, body: Value) -> Response {
    (
        StatusCode::from_u16(code).unwrap(),
        body.to_string().into_bytes().into(),
    )
}
