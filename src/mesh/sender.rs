//! The sending side of the mesh: one connection to each peer.
//!
//! This module owns the outgoing connections and their retries. Frames that a peer does not accept
//! are dropped instead of queued, because only the newest frames matter.

use super::codec::framing;
use bytes::Bytes;
use futures_util::SinkExt;
use std::net::SocketAddrV4;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_util::codec::Framed;

/// Timeout for establishing a connection to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout for sending a frame to a peer.
const SEND_TIMEOUT: Duration = Duration::from_secs(2);
/// Time to wait before reconnecting after a connection failed.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(500);

/// Sends frames to one peer until the queue `frames` is closed, and reconnects after failures.
///
/// The queue is short, and its producer drops frames while the queue is full. Frames that were
/// queued while there was no connection are dropped here.
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
    // If TCP_NODELAY cannot be set, frames are only delayed, which is harmless.
    let _ = stream.set_nodelay(true);
    let mut connection = Framed::new(stream, framing());
    while let Some(frame) = frames.recv().await {
        let sent = timeout(SEND_TIMEOUT, connection.send(frame)).await;
        if !matches!(sent, Ok(Ok(()))) {
            return;
        }
    }
}
