//! Refused connections and oversized bodies, over loopback sockets.

#![allow(
    clippy::unwrap_used,
    reason = "a test ends on a value that it does not expect"
)]

use hyper_util::service::TowerToHyperService;
use std::{net::SocketAddr, time::Duration};
use tallygauge_http::{bounded_body, serve_clients};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};
use warp::{Filter, http::StatusCode};

/// Starts a server that answers a readable body with 200 and any other with 400, and
/// returns its address. Connections are admitted only if `is_admitted`.
async fn serve(is_admitted: bool) -> SocketAddr {
    let routes = warp::body::stream().then(async |body| match bounded_body(body).await {
        Some(_) => StatusCode::OK,
        None => StatusCode::BAD_REQUEST,
    });
    let service = TowerToHyperService::new(warp::service(routes));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let idle_timeout = Duration::from_secs(60);
    tokio::spawn(serve_clients(listener, service, idle_timeout, move |_| {
        is_admitted.then_some(())
    }));
    address
}

/// Sends bytes and returns all that is answered before the server closes the connection,
/// within 300 ms.
async fn exchange(address: SocketAddr, text: &str) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let _ = stream.write_all(text.as_bytes()).await;
    let mut answer = Vec::new();
    let read = stream.read_to_end(&mut answer);
    let _ = tokio::time::timeout(Duration::from_millis(300), read).await;
    String::from_utf8_lossy(&answer).into_owned()
}

/// A request whose body has this many chunks of 16 KiB.
fn chunked_request(chunks: usize) -> String {
    let head = "POST /v1/jobs HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n";
    let chunk = format!("4000\r\n{}\r\n", "x".repeat(0x4000));
    format!("{head}{}0\r\n\r\n", chunk.repeat(chunks))
}

#[tokio::test]
async fn bodies_over_the_limit_are_refused() {
    let address = serve(true).await;
    let answer = exchange(address, &chunked_request(4)).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    let answer = exchange(address, &chunked_request(8)).await;
    assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
}

#[tokio::test]
async fn connections_that_are_not_admitted_are_closed_without_an_answer() {
    let address = serve(false).await;
    assert_eq!(exchange(address, &chunked_request(1)).await, "");
}
