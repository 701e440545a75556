//! A small JSON-over-HTTP client with bounded time and size.

use crate::connection_count::{ConnectionCount, ConnectionGuard};
use bytes::Bytes;
use futures_util::stream::{FuturesUnordered, StreamExt};
use http_body_util::{BodyExt, Full, Limited};
use hyper::{
    Method, Request, StatusCode, Uri, header,
    rt::{Read, ReadBufCursor, Write},
};
use hyper_util::{
    client::legacy::{
        Client,
        connect::{Connected, Connection, HttpConnector},
    },
    rt::{TokioExecutor, TokioIo, TokioTimer},
};
use serde::Serialize;
use std::{
    future::Future,
    io::{IoSlice, Result as IoResult},
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};
use tokio::{net::TcpStream, sync::mpsc};
use tower_service::Service;

/// Why there is no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestError {
    /// No connection came about, so nothing was sent.
    NotSent,
    /// Sent, perhaps in part; the answer did not come in time or whole.
    NoResponse,
}

/// An answer, or why there is none.
pub type HttpResult = Result<(StatusCode, Bytes), RequestError>;

/// Something that carries requests in place of the network, as tests do.
pub trait Transport: Send + Sync {
    /// Carries one request.
    fn send(
        &self,
        method: Method,
        url: String,
        body: Bytes,
    ) -> Pin<Box<dyn Future<Output = HttpResult> + Send>>;
}

/// Connects, and counts what is open.
#[derive(Clone)]
struct CountingConnector {
    connector: HttpConnector,
    open: ConnectionCount,
}

impl Service<Uri> for CountingConnector {
    type Response = CountedConnection;
    type Error = <HttpConnector as Service<Uri>>::Error;
    type Future = Pin<Box<dyn Future<Output = Result<CountedConnection, Self::Error>> + Send>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.connector.poll_ready(cx)
    }

    fn call(&mut self, to: Uri) -> Self::Future {
        let one = self.open.acquire();
        let connecting = self.connector.call(to);
        Box::pin(async move {
            let stream = connecting.await?;
            Ok(CountedConnection { stream, _one: one })
        })
    }
}

/// A connection that is counted while it is open.
struct CountedConnection {
    stream: TokioIo<TcpStream>,
    _one: ConnectionGuard,
}

impl Connection for CountedConnection {
    fn connected(&self) -> Connected {
        self.stream.connected()
    }
}

impl Read for CountedConnection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<IoResult<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl Write for CountedConnection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<IoResult<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<IoResult<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<IoResult<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<IoResult<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }
}

#[derive(Clone)]
enum Connector {
    Network(Box<Client<CountingConnector, Full<Bytes>>>),
    Custom(Arc<dyn Transport>),
}

/// The client. Cheap to clone; connections are kept and shared.
#[derive(Clone)]
pub struct HttpClient {
    carrier: Connector,
    limit: usize,
    open: ConnectionCount,
}

type Work = Pin<Box<dyn Future<Output = ()> + Send>>;

/// Connections that are handed over to be driven, at most, before others are
/// driven as tasks of their own.
const MOST_HANDED_OVER: usize = 64;

/// Hands the work of connections over to [`Connections`].
#[derive(Clone)]
struct TaskQueue(mpsc::Sender<Work>);

impl<F: Future<Output = ()> + Send + 'static> hyper::rt::Executor<F> for TaskQueue {
    fn execute(&self, work: F) {
        if let Err(error) = self.0.try_send(Box::pin(work)) {
            tokio::spawn(error.into_inner());
        }
    }
}

/// The connections of a client, to be driven by whoever holds this.
pub struct ConnectionDriver(mpsc::Receiver<Work>);

impl ConnectionDriver {
    /// Drives the connections for as long as the client is in use.
    pub async fn run(mut self) {
        let mut all = FuturesUnordered::new();
        loop {
            tokio::select! {
                work = self.0.recv() => match work {
                    Some(work) => all.push(work),
                    None => return,
                },
                Some(()) = all.next(), if !all.is_empty() => {}
            }
        }
    }
}

impl HttpClient {
    /// A client that gives a connection attempt up after `connect`, closes a
    /// connection unused for `idle`, and takes answers of at most `limit` bytes.
    #[must_use]
    pub fn new(connect: Duration, idle: Duration, limit: usize) -> Self {
        Self::on(TokioExecutor::new(), connect, idle, limit)
    }

    /// The same, with connections that do not queue with the runtime's tasks
    /// but are driven by the caller, so that they can be given precedence.
    #[must_use]
    pub fn with_driver(
        connect: Duration,
        idle: Duration,
        limit: usize,
    ) -> (Self, ConnectionDriver) {
        let (work, connections) = mpsc::channel(MOST_HANDED_OVER);
        let http = Self::on(TaskQueue(work), connect, idle, limit);
        (http, ConnectionDriver(connections))
    }

    fn on<E>(executor: E, connect: Duration, idle: Duration, limit: usize) -> Self
    where
        E: hyper::rt::Executor<Work> + Send + Sync + Clone + 'static,
    {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(connect));
        connector.set_nodelay(true);
        let open = ConnectionCount::default();
        let client = Client::builder(executor)
            .pool_idle_timeout(idle)
            .pool_max_idle_per_host(4)
            .pool_timer(TokioTimer::new())
            .build(CountingConnector {
                connector,
                open: open.clone(),
            });
        Self {
            carrier: Connector::Network(Box::new(client)),
            limit,
            open,
        }
    }

    /// Connections of this client that are open.
    #[must_use]
    pub fn connection_count(&self) -> &ConnectionCount {
        &self.open
    }

    /// A client whose requests something else carries.
    #[must_use]
    pub fn over(transport: Arc<dyn Transport>) -> Self {
        Self {
            carrier: Connector::Custom(transport),
            limit: usize::MAX,
            open: ConnectionCount::default(),
        }
    }

    /// Sends one request and reads the whole answer within `timeout`.
    ///
    /// # Errors
    /// When there is no answer, or none that is whole.
    pub async fn call<B: Serialize>(
        &self,
        method: Method,
        url: &str,
        body: Option<&B>,
        timeout: Duration,
    ) -> HttpResult {
        self.send(method, url, body, timeout, true).await
    }

    /// Does what [`Http::call`] does, and keeps the connection for further
    /// requests only if `keep` says so.
    ///
    /// # Errors
    /// When there is no answer, or none that is whole.
    pub async fn send<B: Serialize>(
        &self,
        method: Method,
        url: &str,
        body: Option<&B>,
        timeout: Duration,
        keep: bool,
    ) -> HttpResult {
        let bytes = match body {
            Some(body) => Bytes::from(serde_json::to_vec(body).map_err(|_| RequestError::NotSent)?),
            None => Bytes::new(),
        };
        let exchange = async {
            match &self.carrier {
                Connector::Custom(transport) => transport.send(method, url.into(), bytes).await,
                Connector::Network(client) => self.exchange(client, method, url, bytes, keep).await,
            }
        };
        tokio::time::timeout(timeout, exchange)
            .await
            .unwrap_or(Err(RequestError::NoResponse))
    }

    async fn exchange(
        &self,
        client: &Client<CountingConnector, Full<Bytes>>,
        method: Method,
        url: &str,
        body: Bytes,
        keep: bool,
    ) -> HttpResult {
        let mut request = Request::builder().method(method).uri(url);
        if !keep {
            request = request.header(header::CONNECTION, "close");
        }
        if !body.is_empty() {
            request = request.header(header::CONTENT_TYPE, "application/json");
        }
        let request = request
            .body(Full::new(body))
            .map_err(|_| RequestError::NotSent)?;
        let answer = client.request(request).await.map_err(|error| {
            if error.is_connect() {
                RequestError::NotSent
            } else {
                RequestError::NoResponse
            }
        })?;
        let status = answer.status();
        let body = Limited::new(answer.into_body(), self.limit)
            .collect()
            .await
            .map_err(|_| RequestError::NoResponse)?;
        Ok((status, body.to_bytes()))
    }
}
