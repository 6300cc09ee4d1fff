//! Between controllers: frames of postcard over TCP, versioned.
//!
//! What is carried here only speeds things up. No rule depends on it, so a lost, late
//! or repeated frame does no harm.

use crate::clock::Micros;
use crate::ids::{JobId, Label, MachineId, PartitionId, Revision, Term};
use crate::placement::CapacityRequest;
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use serde::{Deserialize, Serialize};
use std::cell::Cell;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio_util::codec::{Framed, LengthDelimitedCodec};
use zone_failover::evidence::ZoneEvidence;

/// Frames of another version are skipped, so that versions can meet in a roll.
const VERSION: u16 = 2;

/// What an owner tells of a partition.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PartitionState {
    /// When it was received, by the receiver's clock.
    #[serde(skip)]
    pub received_at: Micros,
    /// Which partition.
    pub partition: PartitionId,
    /// The term of its grant.
    pub term: Term,
    /// The room that its waiting work lacks.
    pub capacity_requests: Vec<CapacityRequest>,
    /// Machines that should be returned.
    pub releasable_machines: Vec<MachineId>,
}

/// What a controller tells of itself, every so often.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PeerState {
    /// Who tells it.
    pub sender: Label,
    /// Which incarnation of it.
    pub incarnation: Revision,
    /// It reaches the state service.
    pub store_reachable: bool,
    /// False: it hears none of its machines.
    pub workers_reachable: bool,
    /// The partitions that it holds.
    pub partitions: Vec<PartitionState>,
}

/// What controllers tell each other.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// How a controller and its partitions are.
    PeerState(PeerState),
    /// The store has confirmed that a job is cancelled, at this revision. Whoever holds
    /// its partition hears it here before the watch tells, or while the store can't be read.
    Cancelled {
        /// The cancelled job.
        job: JobId,
        /// The store's revision at which it was cancelled.
        revision: Revision,
    },
    /// What a controller sees of the zones. Sent only where zone failover is on; versions
    /// that do not know it drop the frame.
    ZoneEvidence(ZoneEvidence),
}

#[derive(Serialize, Deserialize)]
struct Frame<T> {
    version: u16,
    body: T,
}

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(256 * 1024)
        .new_codec()
}

/// A frame with a message.
pub fn encode(message: &Message) -> Option<Bytes> {
    postcard::to_stdvec(&Frame {
        version: VERSION,
        body: message,
    })
    .ok()
    .map(Bytes::from)
}

/// The message of a frame, if it is of this version.
pub fn decode(frame: &[u8]) -> Option<Message> {
    let (version, rest) = postcard::take_from_bytes::<u16>(frame).ok()?;
    if version != VERSION {
        return None;
    }
    postcard::from_bytes(rest).ok()
}

/// Sends to one peer, connecting again as needed. Only the newest frames matter:
/// the queue is short and what does not fit is dropped by the sender.
pub async fn dial(addr: SocketAddrV4, mut frames: mpsc::Receiver<Bytes>) {
    loop {
        let connect = tokio::time::timeout(Duration::from_secs(2), TcpStream::connect(addr)).await;
        if let Ok(Ok(stream)) = connect {
            let _ = stream.set_nodelay(true);
            let mut framed = Framed::new(stream, codec());
            while let Some(frame) = frames.recv().await {
                let sent = tokio::time::timeout(Duration::from_secs(2), framed.send(frame)).await;
                if !matches!(sent, Ok(Ok(()))) {
                    break;
                }
            }
        }
        if frames.is_closed() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
        while frames.try_recv().is_ok() {}
    }
}

/// Takes peers' frames in and hands them on.
pub async fn listen(listener: TcpListener, most: usize, hand_on: mpsc::Sender<Message>) {
    let room = std::sync::Arc::new(tokio::sync::Semaphore::new(most));
    let unreadable = Rc::new(Cell::new(0_u64));
    loop {
        let Ok(permit) = room.clone().acquire_owned().await else {
            return;
        };
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(100)).await;
            continue;
        };
        let hand_on = hand_on.clone();
        let unreadable = unreadable.clone();
        tokio::task::spawn_local(async move {
            let _permit = permit;
            let mut framed = Framed::new(stream, codec());
            // A peer that says nothing for long is gone, or behind a cut.
            while let Ok(Some(Ok(frame))) =
                tokio::time::timeout(Duration::from_secs(20), framed.next()).await
            {
                let Some(message) = decode(&frame) else {
                    // Of another version, most likely: what it says only speeds things up.
                    unreadable.set(unreadable.get() + 1);
                    let dropped = unreadable.get();
                    tracing::debug!(
                        bytes = frame.len(),
                        dropped,
                        "a peer's frame can't be read: dropped"
                    );
                    continue;
                };
                if hand_on.send(message).await.is_err() {
                    return;
                }
            }
        });
    }
}

#[cfg(test)]
mod tests;
