//! The tasks around the store: the watch that feeds the core, and the API's own requests.
//!
//! They hold no state of the controller; the core decides what a read means.

use super::messages::{Input, StoreChanges, StoreSnapshot};
use crate::api::ports::StoreQuery;
use crate::clock::MonotonicClock;
use crate::ids::Revision;
use crate::store::RequestPriority;
use crate::store::client::{KvClient, WatchResponse};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::spawn_local;

/// Watches are reopened no faster than this.
const WATCH_INTERVAL: Duration = Duration::from_millis(120);
/// After a watch without an answer, the next is opened no earlier than this.
const WATCH_RETRY_DELAY: Duration = Duration::from_millis(240);
/// A full read that failed is repeated after this.
const LOAD_RETRY_DELAY: Duration = Duration::from_millis(300);

/// The core does not take inputs any more.
struct InputsClosed;

/// Keeps the core's cache up to date until the core ends: one full read, then changes only;
/// a full read again whenever the watch has fallen too far behind.
pub(super) async fn watch_store(
    store: KvClient,
    clock: MonotonicClock,
    inputs: mpsc::Sender<Input>,
) {
    loop {
        let requested_at = clock.now();
        let Some((entries, revision)) = store.load_all().await else {
            tokio::time::sleep(LOAD_RETRY_DELAY).await;
            continue;
        };
        let snapshot = StoreSnapshot {
            entries,
            revision: Revision(revision),
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

/// Passes on the changes since a revision, until the store has compacted them.
async fn follow_changes(
    store: &KvClient,
    clock: MonotonicClock,
    inputs: &mpsc::Sender<Input>,
    mut since: u64,
) -> Result<(), InputsClosed> {
    loop {
        let requested_at = clock.now();
        match store.watch(since).await {
            WatchResponse::Events(events, revision) => {
                since = revision.max(since);
                let changes = StoreChanges {
                    events,
                    revision: Revision(revision),
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

/// Executes the API's requests to the store, each in a task of its own.
pub(super) async fn execute_store_queries(
    store: KvClient,
    mut queries: mpsc::Receiver<StoreQuery>,
) {
    while let Some(query) = queries.recv().await {
        let store = store.clone();
        spawn_local(async move {
            let reply = store.execute(query.request, RequestPriority::Normal).await;
            // The API's request may have timed out meanwhile.
            let _ = query.answer.send(reply);
        });
    }
}
