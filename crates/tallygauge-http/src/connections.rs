//! Accepting and serving connections.

use hyper::{body::Incoming, server::conn::http1, service::Service};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::{net::SocketAddr, time::Duration};
use tokio::net::TcpListener;

/// Pause after a connection could not be accepted, as when the process is out of
/// sockets: some of those in use will be closed.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(10);

/// Serves HTTP/1 to all callers that `admit` lets in; others are closed without an
/// answer. What `admit` returns is a guard that is held until the connection is closed.
/// A connection on which no request begins for `idle_timeout` is closed, so that a caller
/// that vanished does not hold a socket forever. Never returns.
pub async fn serve_clients<S, B, G>(
    listener: TcpListener,
    service: S,
    idle_timeout: Duration,
    admit: impl Fn(SocketAddr) -> Option<G>,
) where
    S: Service<hyper::Request<Incoming>, Response = hyper::Response<B>> + Clone + Send + 'static,
    S::Future: Send,
    S::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    B: hyper::body::Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    G: Send + 'static,
{
    let mut http = http1::Builder::new();
    http.timer(TokioTimer::new())
        .header_read_timeout(idle_timeout);
    loop {
        match listener.accept().await {
            Ok((stream, address)) => {
                let Some(guard) = admit(address) else {
                    continue;
                };
                let connection = http.serve_connection(TokioIo::new(stream), service.clone());
                tokio::spawn(async move {
                    // An error of one connection concerns its caller only.
                    let _ = connection.await;
                    drop(guard);
                });
            }
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_PAUSE).await,
        }
    }
}
