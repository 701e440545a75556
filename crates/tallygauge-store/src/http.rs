//! JSON-over-HTTP client with bounds on the time of a request and the size of its
//! response.

mod counted_connection;
mod driver;
mod transport;

pub use driver::ConnectionDriver;
pub use transport::{HttpResult, RequestError, Transport};

use crate::connection_count::ConnectionCount;
use bytes::Bytes;
use counted_connection::CountingConnector;
use driver::ConnectionTask;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Method, Request, header};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use serde::Serialize;
use std::{sync::Arc, time::Duration};

/// Maximum number of idle connections kept per host.
const MAX_IDLE_PER_HOST: usize = 4;

type NetworkClient = Client<CountingConnector, Full<Bytes>>;

#[derive(Clone)]
enum Backend {
    Network(Box<NetworkClient>),
    Custom(Arc<dyn Transport>),
}

/// HTTP client. Cheap to clone; clones share their connections.
#[derive(Clone)]
pub struct HttpClient {
    backend: Backend,
    max_response_bytes: usize,
    open_connections: ConnectionCount,
}

impl HttpClient {
    /// Creates a client with these limits:
    ///
    /// - An attempt to connect fails after `connect_timeout`.
    /// - A connection is closed after it has been idle for `idle_timeout`.
    /// - A response body may have at most `max_response_bytes`.
    #[must_use]
    pub fn new(
        connect_timeout: Duration,
        idle_timeout: Duration,
        max_response_bytes: usize,
    ) -> Self {
        let executor = TokioExecutor::new();
        Self::with_executor(executor, connect_timeout, idle_timeout, max_response_bytes)
    }

    /// Does what [`HttpClient::new`] does, but the connections are driven by the returned
    /// driver instead of by tasks of the runtime. Requests make no progress unless
    /// [`ConnectionDriver::run`] is polled.
    #[must_use]
    pub fn with_driver(
        connect_timeout: Duration,
        idle_timeout: Duration,
        max_response_bytes: usize,
    ) -> (Self, ConnectionDriver) {
        let (executor, driver) = ConnectionDriver::new();
        let client =
            Self::with_executor(executor, connect_timeout, idle_timeout, max_response_bytes);
        (client, driver)
    }

    /// Creates a client that sends its requests through `transport` instead of the
    /// network.
    #[must_use]
    pub fn with_transport(transport: Arc<dyn Transport>) -> Self {
        Self {
            backend: Backend::Custom(transport),
            max_response_bytes: usize::MAX,
            open_connections: ConnectionCount::default(),
        }
    }

    fn with_executor<E>(
        executor: E,
        connect_timeout: Duration,
        idle_timeout: Duration,
        max_response_bytes: usize,
    ) -> Self
    where
        E: hyper::rt::Executor<ConnectionTask> + Send + Sync + Clone + 'static,
    {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(connect_timeout));
        connector.set_nodelay(true);
        let open_connections = ConnectionCount::default();
        let client = Client::builder(executor)
            .pool_idle_timeout(idle_timeout)
            .pool_max_idle_per_host(MAX_IDLE_PER_HOST)
            .pool_timer(TokioTimer::new())
            .build(CountingConnector {
                connector,
                open_connections: open_connections.clone(),
            });
        Self {
            backend: Backend::Network(Box::new(client)),
            max_response_bytes,
            open_connections,
        }
    }

    /// Counter of this client's open connections.
    #[must_use]
    pub fn connection_count(&self) -> &ConnectionCount {
        &self.open_connections
    }

    /// Sends one request and reads the complete response within `timeout`.
    ///
    /// # Errors
    /// [`RequestError::NotSent`] if no connection was established or the body can't be
    /// encoded, [`RequestError::NoResponse`] if no complete response arrived in time.
    pub async fn call<B: Serialize>(
        &self,
        method: Method,
        url: &str,
        body: Option<&B>,
        timeout: Duration,
    ) -> HttpResult {
        self.send(method, url, body, timeout, true).await
    }

    /// Does what [`HttpClient::call`] does, but closes the connection after the request
    /// unless `keep_alive` is set.
    ///
    /// # Errors
    /// As [`HttpClient::call`].
    pub async fn send<B: Serialize>(
        &self,
        method: Method,
        url: &str,
        body: Option<&B>,
        timeout: Duration,
        keep_alive: bool,
    ) -> HttpResult {
        let body = match body {
            Some(body) => Bytes::from(serde_json::to_vec(body).map_err(|_| RequestError::NotSent)?),
            None => Bytes::new(),
        };
        let exchange = async {
            match &self.backend {
                Backend::Custom(transport) => transport.send(method, url.into(), body).await,
                Backend::Network(client) => {
                    self.exchange(client, method, url, body, keep_alive).await
                }
            }
        };
        tokio::time::timeout(timeout, exchange)
            .await
            .unwrap_or(Err(RequestError::NoResponse))
    }

    async fn exchange(
        &self,
        client: &NetworkClient,
        method: Method,
        url: &str,
        body: Bytes,
        keep_alive: bool,
    ) -> HttpResult {
        let request = build_request(method, url, body, keep_alive)?;
        let response = client.request(request).await.map_err(|error| {
            if error.is_connect() {
                RequestError::NotSent
            } else {
                RequestError::NoResponse
            }
        })?;
        let status = response.status();
        let body = Limited::new(response.into_body(), self.max_response_bytes)
            .collect()
            .await
            .map_err(|_| RequestError::NoResponse)?;
        Ok((status, body.to_bytes()))
    }
}

fn build_request(
    method: Method,
    url: &str,
    body: Bytes,
    keep_alive: bool,
) -> Result<Request<Full<Bytes>>, RequestError> {
    let mut request = Request::builder().method(method).uri(url);
    if !keep_alive {
        request = request.header(header::CONNECTION, "close");
    }
    if !body.is_empty() {
        request = request.header(header::CONTENT_TYPE, "application/json");
    }
    request
        .body(Full::new(body))
        .map_err(|_| RequestError::NotSent)
}
