//! The tasks that access the store: the watch that feeds the core, and the API's requests.
//!
//! They hold no state of the controller. The core interprets what they read.

use super::messages::{Input, StoreChanges, StoreSnapshot};
use crate::api::channels::StoreQuery;
use crate::clock::MonotonicClock;
use crate::ids::Revision;
use crate::store::RequestPriority;
use crate::store::client::{KvClient, LoadedKeys, WatchResponse};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::spawn_local;

/// Pause between the response to a watch and the next watch, which limits the request rate.
const WATCH_INTERVAL: Duration = Duration::from_millis(120);
/// Delay after an unanswered watch before the next watch.
const WATCH_RETRY_DELAY: Duration = Duration::from_millis(240);
/// Delay before a failed full read is retried.
const LOAD_RETRY_DELAY: Duration = Duration::from_millis(300);

/// The input queue of the core is closed.
struct InputsClosed;

/// Keeps the core's cache up to date until the core's input queue is closed. The first read is
/// a full read, after which only changes are read. A full read is repeated when the store has
/// compacted changes that the watch has not read yet.
pub(super) async fn watch_store(
    store: KvClient,
    clock: MonotonicClock,
    inputs: mpsc::Sender<Input>,
) {
    loop {
        let requested_at = clock.now();
        let Some(LoadedKeys { entries, revision }) = store.load_all().await else {
            tokio::time::sleep(LOAD_RETRY_DELAY).await;
            continue;
        };
        let snapshot = StoreSnapshot {
            entries,
            revision,
            requested_at,
        };
        if inputs.send(Input::Loaded(snapshot)).await.is_err() {
            return;
        }
        let followed = follow_changes(&store, clock, &inputs, revision).await;
        if let Err(InputsClosed) = followed {
            return;
        }
    }
}

/// Passes the changes after a revision to the core. Returns `Ok` once the store has compacted
/// changes that were not read yet, and an error once the core's input queue is closed.
async fn follow_changes(
    store: &KvClient,
    clock: MonotonicClock,
    inputs: &mpsc::Sender<Input>,
    mut since: Revision,
) -> Result<(), InputsClosed> {
    loop {
        let requested_at = clock.now();
        match store.watch(since).await {
            WatchResponse::Events { events, revision } => {
                since = revision.max(since);
                let changes = StoreChanges {
                    events,
                    revision,
                    requested_at,
                };
                let sent = inputs.send(Input::Changes(changes)).await;
                sent.map_err(|_| InputsClosed)?;
                tokio::time::sleep(WATCH_INTERVAL).await;
            }
            WatchResponse::Compacted => return Ok(()),
            WatchResponse::Failed => tokio::time::sleep(WATCH_RETRY_DELAY).await,
        }
    }
}

/// Executes the API's requests to the store, each in a separate task.
pub(super) async fn execute_store_queries(
    store: KvClient,
    mut queries: mpsc::Receiver<StoreQuery>,
) {
    while let Some(query) = queries.recv().await {
        let store = store.clone();
        spawn_local(async move {
            let reply = store.execute(query.request, RequestPriority::Normal).await;
            // Sending fails if the API's request has timed out meanwhile.
            let _ = query.answer.send(reply);
        });
    }
}
