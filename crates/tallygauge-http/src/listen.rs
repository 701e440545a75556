//! Connections and request bodies.

use bytes::Buf;
use futures_util::{Stream, StreamExt};
use hyper::{body::Incoming, server::conn::http1, service::Service};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::{net::SocketAddr, time::Duration};
use tallygauge_protocol::BODY_LIMIT;
use tokio::net::TcpListener;

/// Serves HTTP/1 to all callers that `admit` lets in; what it gives is held
/// while the connection is open. A connection on which no request begins for
/// `idle` is closed: a caller that went without a word must not hold a socket
/// for ever. Never returns.
pub async fn accept<S, B, G>(
    listener: TcpListener,
    service: S,
    idle: Duration,
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
    http.timer(TokioTimer::new()).header_read_timeout(idle);
    loop {
        match listener.accept().await {
            Ok((stream, from)) => {
                let Some(held) = admit(from) else { continue };
                let connection = http.serve_connection(TokioIo::new(stream), service.clone());
                tokio::spawn(async move {
                    let _ = connection.await;
                    drop(held);
                });
            }
            // Out of sockets: those in use end some time.
            Err(_) => tokio::time::sleep(Duration::from_millis(10)).await,
        }
    }
}

/// Reads a body of bounded size; `None` if it is longer, or breaks off.
pub async fn bounded_body(
    body: impl Stream<Item = Result<impl Buf, warp::Error>>,
) -> Option<Vec<u8>> {
    let mut body = std::pin::pin!(body);
    let mut out = Vec::new();
    while let Some(part) = body.next().await {
        let mut part = part.ok()?;
        if out.len() + part.remaining() > BODY_LIMIT {
            return None;
        }
        while part.has_remaining() {
            let chunk = part.chunk();
            out.extend_from_slice(chunk);
            let n = chunk.len();
            part.advance(n);
        }
    }
    Some(out)
}
