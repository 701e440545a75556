//! Accepting and serving connections.

use hyper::{body::Incoming, server::conn::http1, service::Service};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::{net::SocketAddr, time::Duration};
use tokio::net::TcpListener;

/// Delay before the next accept after a failed one. Accepting fails, for example, when the
/// process is out of sockets, and can succeed again once some of those in use are closed.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(10);

/// Accepts connections and serves HTTP/1 on them. Never returns.
///
/// - `admit` decides whether a connection is served. The guard that it returns is held until
///   the connection is closed. If it returns `None`, the connection is closed without a
///   response.
/// - A connection on which no request begins for `idle_timeout` is closed, so that a client
///   that has vanished does not hold a socket forever.
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
                    // An error on a connection affects only the client of that connection.
                    let _ = connection.await;
                    drop(guard);
                });
            }
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_PAUSE).await,
        }
    }
}
