//! HTTP servers of the simulated components, and the HTTP client of workers and users.

use bytes::Buf;
use std::time::Duration;
use tallygauge_store::http::{HttpClient, HttpResult};
use tokio::net::TcpListener;
use warp::{Filter, http::Method};

type Response = warp::http::Response<bytes::Bytes>;

/// Serves a simulated component: `handle` is called with the method, the path with its query,
/// and the body of every request.
pub fn serve<F, R>(listener: TcpListener, handle: F)
where
    F: Fn(Method, String, Vec<u8>) -> R + Clone + Send + Sync + 'static,
    R: Future<Output = HttpResult> + Send,
{
    let query = warp::query::raw().or(warp::any().map(String::new)).unify();
    let routes = warp::method()
        .and(warp::path::full())
        .and(query)
        .and(warp::body::aggregate())
        .then(
            move |method, path: warp::path::FullPath, query: String, mut body: _| {
                let path = match query.is_empty() {
                    true => path.as_str().to_string(),
                    false => format!("{}?{query}", path.as_str()),
                };
                let result = handle(method, path, bytes_of(&mut body));
                async move { response(result.await) }
            },
        );
    tokio::spawn(warp::serve(routes).incoming(listener).run());
}

/// Listens on a free local port. Returns the listener and its address.
pub async fn listen() -> (TcpListener, String) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("its address").to_string();
    (listener, address)
}

/// Creates a client for requests to the program.
pub fn client() -> HttpClient {
    HttpClient::new(Duration::from_secs(1), Duration::from_secs(60), 1 << 20)
}

fn bytes_of(body: &mut impl Buf) -> Vec<u8> {
    body.copy_to_bytes(body.remaining()).to_vec()
}

fn response(result: HttpResult) -> Response {
    let (code, body) = result.expect("a stand-in answers");
    let builder = warp::http::Response::builder().status(code);
    builder.body(body).expect("a response")
}
