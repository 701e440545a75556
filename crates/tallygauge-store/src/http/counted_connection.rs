//! TCP connections that are counted while they are open.

use crate::connection_count::{ConnectionCount, ConnectionGuard};
use hyper::{
    Uri,
    rt::{Read, ReadBufCursor, Write},
};
use hyper_util::{
    client::legacy::connect::{Connected, Connection, HttpConnector},
    rt::TokioIo,
};
use std::{
    future::Future,
    io::{IoSlice, Result as IoResult},
    pin::Pin,
    task::{Context, Poll},
};
use tokio::net::TcpStream;
use tower_service::Service;

/// Connector that counts each connection from the attempt to connect until it is closed.
#[derive(Clone)]
pub(super) struct CountingConnector {
    pub(super) connector: HttpConnector,
    pub(super) open_connections: ConnectionCount,
}

impl Service<Uri> for CountingConnector {
    type Response = CountedConnection;
    type Error = <HttpConnector as Service<Uri>>::Error;
    type Future = Pin<Box<dyn Future<Output = Result<CountedConnection, Self::Error>> + Send>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.connector.poll_ready(cx)
    }

    fn call(&mut self, uri: Uri) -> Self::Future {
        let guard = self.open_connections.acquire();
        let connecting = self.connector.call(uri);
        Box::pin(async move {
            let stream = connecting.await?;
            Ok(CountedConnection {
                stream,
                _guard: guard,
            })
        })
    }
}

/// TCP connection that is counted until it is dropped.
pub(super) struct CountedConnection {
    stream: TokioIo<TcpStream>,
    _guard: ConnectionGuard,
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
