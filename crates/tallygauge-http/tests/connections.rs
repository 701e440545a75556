//! Tests over loopback sockets that connections which are not admitted and oversized request
//! bodies are rejected.

#![allow(clippy::unwrap_used, reason = "an unexpected value fails the test")]

use hyper_util::service::TowerToHyperService;
use std::{net::SocketAddr, time::Duration};
use tallygauge_http::{bounded_body, serve_clients};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};
use warp::{Filter, http::StatusCode};

/// Starts a server that responds with 200 if it can read the request body and with 400
/// otherwise, and returns its address. Admits connections only if `admits_connections`.
async fn start_server(admits_connections: bool) -> SocketAddr {
    let routes = warp::body::stream().then(async |body| match bounded_body(body).await {
        Some(_) => StatusCode::OK,
        None => StatusCode::BAD_REQUEST,
    });
    let service = TowerToHyperService::new(warp::service(routes));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let idle_timeout = Duration::from_secs(60);
    tokio::spawn(serve_clients(listener, service, idle_timeout, move |_| {
        admits_connections.then_some(())
    }));
    address
}

/// Sends a request and returns what the server sends until it closes the connection, for at
/// most 300 ms.
async fn send_request(address: SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(address).await.unwrap();
    let _ = stream.write_all(request.as_bytes()).await;
    let mut response = Vec::new();
    let read = stream.read_to_end(&mut response);
    let _ = tokio::time::timeout(Duration::from_millis(300), read).await;
    String::from_utf8_lossy(&response).into_owned()
}

/// Builds a request with a chunked body of `chunk_count` chunks of 16 KiB each.
fn chunked_request(chunk_count: usize) -> String {
    let head = "POST /v1/jobs HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n";
    let chunk = format!("4000\r\n{}\r\n", "x".repeat(0x4000));
    format!("{head}{}0\r\n\r\n", chunk.repeat(chunk_count))
}

#[tokio::test]
async fn bodies_over_the_limit_are_rejected() {
    let address = start_server(true).await;
    let response = send_request(address, &chunked_request(4)).await;
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    let response = send_request(address, &chunked_request(8)).await;
    assert!(response.starts_with("HTTP/1.1 400"), "{response}");
}

#[tokio::test]
async fn connections_that_are_not_admitted_are_closed_without_a_response() {
    let address = start_server(false).await;
    assert_eq!(send_request(address, &chunked_request(1)).await, "");
}
