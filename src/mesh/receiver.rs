//! The receiving side of the mesh: connections from peers.
//!
//! This module owns the incoming connections and bounds their number. Peers that never close
//! their connections must not use up the controller's sockets.

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

/// Time without a frame after which a connection is closed, because its peer has failed or is
/// isolated.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Time to wait before a failed accept is retried.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Accepts peers' connections, at most `max_connections` at the same time, and forwards the
/// received messages to `messages`. Must run in a [`LocalSet`](tokio::task::LocalSet).
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

/// Forwards the messages of one connection until it is closed, fails or is idle for
/// `IDLE_TIMEOUT`.
async fn receive(stream: TcpStream, messages: &mpsc::Sender<Message>, dropped_frames: &Cell<u64>) {
    let mut connection = Framed::new(stream, framing());
    while let Ok(Some(Ok(frame))) = timeout(IDLE_TIMEOUT, connection.next()).await {
        match decode(&frame) {
            Ok(message) => {
                if messages.send(message).await.is_err() {
                    return;
                }
            }
            // The frame is most likely of another version. Dropping it is harmless, because
            // messages only reduce latency.
            Err(reason) => {
                let dropped = dropped_frames.get() + 1;
                dropped_frames.set(dropped);
                tracing::debug!(bytes = frame.len(), dropped, %reason, "mesh frame dropped");
            }
        }
    }
}
