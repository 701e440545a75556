//! A small JSON-over-HTTP client with bounded time and size.

use crate::connection_count::{OneOpen, Open};
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
pub enum NoAnswer {
    /// No connection came about, so nothing was sent.
    NotSent,
    /// Sent, perhaps in part; the answer did not come in time or whole.
    Lost,
}

/// An answer, or why there is none.
pub type Answer = Result<(StatusCode, Bytes), NoAnswer>;

/// Something that carries requests in place of the network, as tests do.
pub trait Transport: Send + Sync {
    /// Carries one request.
    fn carry(
        &self,
        method: Method,
        url: String,
        body: Bytes,
    ) -> Pin<Box<dyn Future<Output = Answer> + Send>>;
}

/// Connects, and counts what is open.
#[derive(Clone)]
struct Counting {
    connector: HttpConnector,
    open: Open,
}

impl Service<Uri> for Counting {
    type Response = Counted;
    type Error = <HttpConnector as Service<Uri>>::Error;
    type Future = Pin<Box<dyn Future<Output = Result<Counted, Self::Error>> + Send>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.connector.poll_ready(cx)
    }

    fn call(&mut self, to: Uri) -> Self::Future {
        let one = self.open.enter();
        let connecting = self.connector.call(to);
        Box::pin(async move {
            let stream = connecting.await?;
            Ok(Counted { stream, _one: one })
        })
    }
}

/// A connection that is counted while it is open.
struct Counted {
    stream: TokioIo<TcpStream>,
    _one: OneOpen,
}

impl Connection for Counted {
    fn connected(&self) -> Connected {
        self.stream.connected()
    }
}

impl Read for Counted {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: ReadBufCursor<'_>,
    ) -> Poll<IoResult<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl Write for Counted {
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
enum Carrier {
    Network(Box<Client<Counting, Full<Bytes>>>),
    StandIn(Arc<dyn Transport>),
}

/// The client. Cheap to clone; connections are kept and shared.
#[derive(Clone)]
pub struct Http {
    carrier: Carrier,
    limit: usize,
    open: Open,
}

type Work = Pin<Box<dyn Future<Output = ()> + Send>>;

/// Connections that are handed over to be driven, at most, before others are
/// driven as tasks of their own.
const MOST_HANDED_OVER: usize = 64;

/// Hands the work of connections over to [`Connections`].
#[derive(Clone)]
struct Handover(mpsc::Sender<Work>);

impl<F: Future<Output = ()> + Send + 'static> hyper::rt::Executor<F> for Handover {
    fn execute(&self, work: F) {
        if let Err(error) = self.0.try_send(Box::pin(work)) {
            tokio::spawn(error.into_inner());
        }
    }
}

/// The connections of a client, to be driven by whoever holds this.
pub struct Connections(mpsc::Receiver<Work>);

impl Connections {
    /// Drives the connections for as long as the client is in use.
    pub async fn drive(mut self) {
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

impl Http {
    /// A client that gives a connection attempt up after `connect`, closes a
    /// connection unused for `idle`, and takes answers of at most `limit` bytes.
    #[must_use]
    pub fn new(connect: Duration, idle: Duration, limit: usize) -> Self {
        Self::on(TokioExecutor::new(), connect, idle, limit)
    }

    /// The same, with connections that do not queue with the runtime's tasks
    /// but are driven by the caller, so that they can be given precedence.
    #[must_use]
    pub fn driven(connect: Duration, idle: Duration, limit: usize) -> (Self, Connections) {
        let (work, connections) = mpsc::channel(MOST_HANDED_OVER);
        let http = Self::on(Handover(work), connect, idle, limit);
        (http, Connections(connections))
    }

    fn on<E>(executor: E, connect: Duration, idle: Duration, limit: usize) -> Self
    where
        E: hyper::rt::Executor<Work> + Send + Sync + Clone + 'static,
    {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(connect));
        connector.set_nodelay(true);
        let open = Open::default();
        let client = Client::builder(executor)
            .pool_idle_timeout(idle)
            .pool_max_idle_per_host(4)
            .pool_timer(TokioTimer::new())
            .build(Counting {
                connector,
                open: open.clone(),
            });
        Self {
            carrier: Carrier::Network(Box::new(client)),
            limit,
            open,
        }
    }

    /// Connections of this client that are open.
    #[must_use]
    pub fn open(&self) -> &Open {
        &self.open
    }

    /// A client whose requests something else carries.
    #[must_use]
    pub fn over(transport: Arc<dyn Transport>) -> Self {
        Self {
            carrier: Carrier::StandIn(transport),
            limit: usize::MAX,
            open: Open::default(),
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
    ) -> Answer {
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
    ) -> Answer {
        let bytes = match body {
            Some(body) => Bytes::from(serde_json::to_vec(body).map_err(|_| NoAnswer::NotSent)?),
            None => Bytes::new(),
        };
        let exchange = async {
            match &self.carrier {
                Carrier::StandIn(transport) => transport.carry(method, url.into(), bytes).await,
                Carrier::Network(client) => self.exchange(client, method, url, bytes, keep).await,
            }
        };
        tokio::time::timeout(timeout, exchange)
            .await
            .unwrap_or(Err(NoAnswer::Lost))
    }

    async fn exchange(
        &self,
        client: &Client<Counting, Full<Bytes>>,
        method: Method,
        url: &str,
        body: Bytes,
        keep: bool,
    ) -> Answer {
        let mut request = Request::builder().method(method).uri(url);
        if !keep {
            request = request.header(header::CONNECTION, "close");
        }
        if !body.is_empty() {
            request = request.header(header::CONTENT_TYPE, "application/json");
        }
        let request = request
            .body(Full::new(body))
            .map_err(|_| NoAnswer::NotSent)?;
        let answer = client.request(request).await.map_err(|error| {
            if error.is_connect() {
                NoAnswer::NotSent
            } else {
                NoAnswer::Lost
            }
        })?;
        let status = answer.status();
        let body = Limited::new(answer.into_body(), self.limit)
            .collect()
            .await
            .map_err(|_| NoAnswer::Lost)?;
        Ok((status, body.to_bytes()))
    }
}
