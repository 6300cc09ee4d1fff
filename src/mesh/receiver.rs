//! The receiving side of the mesh: connections from peers.
//!
//! Owns the peers' connections and how many there may be. It must never let peers that don't
//! close theirs use up the controller's sockets.

use super::codec::{decode, framing};
use super::messages::Message;
use futures_util::StreamExt;
use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc};
use tokio::time::timeout;
use tokio_util::codec::Framed;

/// A connection without a frame for so long is closed: its peer is lost or isolated.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// How long to wait before a failed accept is retried.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Accepts peers' connections, at most `max_connections` at once, and forwards their messages.
/// Must run in a [`LocalSet`](tokio::task::LocalSet).
pub async fn listen(
    listener: TcpListener,
    max_connections: usize,
    messages: mpsc::Sender<Message>,
) {
    let connections = Arc::new(Semaphore::new(max_connections));
    let dropped_frames = Rc::new(Cell::new(0));
    loop {
        let Ok(permit) = connections.clone().acquire_owned().await else {
            return;
        };
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_INTERVAL).await;
            continue;
        };
        let messages = messages.clone();
        let dropped_frames = dropped_frames.clone();
        tokio::task::spawn_local(async move {
            let _permit = permit;
            receive(stream, &messages, &dropped_frames).await;
        });
    }
}

/// Forwards the messages of one connection until it ends.
async fn receive(stream: TcpStream, messages: &mpsc::Sender<Message>, dropped_frames: &Cell<u64>) {
    let mut connection = Framed::new(stream, framing());
    while let Ok(Some(Ok(frame))) = timeout(IDLE_TIMEOUT, connection.next()).await {
        match decode(&frame) {
            Ok(message) => {
                if messages.send(message).await.is_err() {
                    return;
                }
            }
            // Of another version, most likely: the mesh only speeds things up.
            Err(reason) => {
                let dropped = dropped_frames.get() + 1;
                dropped_frames.set(dropped);
                tracing::debug!(bytes = frame.len(), dropped, %reason, "mesh frame dropped");
            }
        }
    }
}
