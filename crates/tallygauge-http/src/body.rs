//! Reading request bodies up to a maximum size.

use bytes::Buf;
use futures_util::{Stream, StreamExt};
use tallygauge_protocol::MAX_REQUEST_BODY_BYTES;

/// Reads a request body. Returns `None` if the body is longer than
/// [`MAX_REQUEST_BODY_BYTES`] or if receiving it fails.
pub async fn bounded_body(
    body: impl Stream<Item = Result<impl Buf, warp::Error>>,
) -> Option<Vec<u8>> {
    let mut body = std::pin::pin!(body);
    let mut bytes = Vec::new();
    while let Some(part) = body.next().await {
        let mut part = part.ok()?;
        if bytes.len() + part.remaining() > MAX_REQUEST_BODY_BYTES {
            return None;
        }
        while part.has_remaining() {
            let chunk = part.chunk();
            bytes.extend_from_slice(chunk);
            let chunk_len = chunk.len();
            part.advance(chunk_len);
        }
    }
    Some(bytes)
}
