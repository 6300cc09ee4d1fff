//! The sending side of the mesh: one connection to each peer.
//!
//! Owns the connection and its retries. It must never queue what a peer does not take: only
//! the newest frames matter.

use super::codec::framing;
use bytes::Bytes;
use futures_util::SinkExt;
use std::net::SocketAddrV4;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_util::codec::Framed;

/// How long a peer may take to accept a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a peer may take to accept a frame.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);
/// How long to wait before a lost connection is retried.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(500);

/// Sends frames to one peer, reconnecting as needed, until the queue of `frames` is closed.
/// The queue is short, and its filler drops what does not fit; what was queued while there
/// was no connection is dropped here.
pub async fn dial(addr: SocketAddrV4, mut frames: mpsc::Receiver<Bytes>) {
    loop {
        if let Ok(Ok(stream)) = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await {
            send_frames(stream, &mut frames).await;
        }
        if frames.is_closed() {
            return;
        }
        tokio::time::sleep(RECONNECT_INTERVAL).await;
        while frames.try_recv().is_ok() {}
    }
}

/// Sends frames until the connection fails or the queue is closed.
async fn send_frames(stream: TcpStream, frames: &mut mpsc::Receiver<Bytes>) {
    // Without it frames may only be late, which does no harm.
    let _ = stream.set_nodelay(true);
    let mut connection = Framed::new(stream, framing());
    while let Some(frame) = frames.recv().await {
        let sent = timeout(SEND_TIMEOUT, connection.send(frame)).await;
        if !matches!(sent, Ok(Ok(()))) {
            return;
        }
    }
}
