//! Simulated worker agents that accept direct commands and send heartbeats over HTTP.

use crate::{
    http::{client, listen, serve},
    phase::RequestCounts,
};
use std::{
    sync::{Arc, atomic::Ordering::Relaxed},
    time::Duration,
};
use tallygauge_protocol::workers::HeartbeatResponse;
use tallygauge_sim::Simulation;
use tallygauge_store::http::HttpClient;
use tokio::{net::TcpListener, sync::Notify};
use warp::http::Method;

/// How long a worker waits for the response to a heartbeat.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(4);

/// Minimum interval between heartbeats.
const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Interval until the next heartbeat after a response with commands, in seconds.
const INTERVAL_AFTER_COMMANDS_S: f64 = 0.5;

/// Interval until the next heartbeat after one that got no successful response, in seconds.
const RETRY_INTERVAL_S: f64 = 1.0;

/// A simulated worker.
pub struct Worker {
    pub simulation: Arc<Simulation>,
    pub counts: Arc<RequestCounts>,
    /// Name of its machine.
    pub name: String,
    /// URL to which it sends heartbeats.
    pub url: String,
    /// Mean interval between heartbeats while nothing changes, in seconds.
    pub heartbeat_interval_s: f64,
}

impl Worker {
    /// Runs the agent until its machine is returned. It sends heartbeats at the interval, and
    /// earlier after commands.
    pub async fn run(self) {
        let client = client();
        let (listener, address) = listen().await;
        self.set_endpoint(address);
        let commanded = Arc::new(Notify::new());
        self.serve_direct_commands(listener, commanded.clone());
        while let Some(interval_s) = self.exchange_heartbeat(&client).await {
            tokio::time::sleep(MIN_HEARTBEAT_INTERVAL).await;
            let interval = Duration::from_secs_f64(interval_s);
            let rest = interval.saturating_sub(MIN_HEARTBEAT_INTERVAL);
            let _ = tokio::time::timeout(rest, commanded.notified()).await;
        }
    }

    /// Sets the address at which the worker accepts direct commands.
    fn set_endpoint(&self, address: String) {
        let mut state = self.simulation.state.lock().unwrap();
        state.endpoints.insert(self.name.clone(), address);
    }

    /// Serves requests with direct commands, and notifies `commanded` of each.
    fn serve_direct_commands(&self, listener: TcpListener, commanded: Arc<Notify>) {
        let (simulation, name) = (self.simulation.clone(), self.name.clone());
        let counts = self.counts.clone();
        serve(listener, move |_, _, body| {
            let (simulation, name) = (simulation.clone(), name.clone());
            counts.direct_commands.fetch_add(1, Relaxed);
            commanded.notify_one();
            async move { simulation.deliver_direct_commands("", &name, &body).await }
        });
    }

    /// Sends a heartbeat and applies the response. Returns the interval until the next one, in
    /// seconds; `None` if the machine was returned.
    async fn exchange_heartbeat(&self, client: &HttpClient) -> Option<f64> {
        let sent_at = self.simulation.now();
        let heartbeat = {
            let mut state = self.simulation.state.lock().unwrap();
            state.next_heartbeat(&self.name)?
        };
        let result = client
            .call(Method::POST, &self.url, Some(&heartbeat), HEARTBEAT_TIMEOUT)
            .await;
        let interval_s = self.heartbeat_interval_s * (0.75 + 0.5 * rand::random::<f64>());
        let body = match result {
            Ok((status, body)) if status == 200 => body,
            _ => return Some(RETRY_INTERVAL_S),
        };
        self.counts.heartbeats.fetch_add(1, Relaxed);
        let response: HeartbeatResponse = serde_json::from_slice(&body).expect("an answer");
        let now = self.simulation.now();
        let mut state = self.simulation.state.lock().unwrap();
        state.apply_heartbeat_response(now, sent_at, &self.name, &response);
        Some(if response.commands.is_empty() {
            interval_s
        } else {
            INTERVAL_AFTER_COMMANDS_S
        })
    }
}
