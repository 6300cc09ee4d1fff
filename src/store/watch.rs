//! Reads and watches of the store, by which a controller keeps its cache up to date. It loads
//! all keys once, and then requests the changes after the revision of that read.

use super::client::KvClient;
use super::http::{REVISION_COMPACTED, WatchBody, watch_request};
use super::keys::ROOT;
use super::reply::{KeyValue, Reply, WatchEvent};
use super::request::{Request, RequestPriority};
use crate::ids::Revision;
use std::time::Duration;

/// Time after which the store answers a watch if nothing changes. It is short, because a user's
/// query is answered only from a read that was sent after the query arrived.
const WATCH_WAIT: Duration = Duration::from_millis(300);
/// Timeout of a watch. During an outage of the store, watches stay open without a response.
const WATCH_TIMEOUT: Duration = Duration::from_millis(1_800);

/// The result of reading all keys below [`ROOT`].
pub struct LoadedKeys {
    /// The keys, in ascending order.
    pub entries: Vec<KeyValue>,
    /// The revision of the first page, after which a watch must begin. Such a watch repeats
    /// changes that later pages already contain, which is harmless because applying a change
    /// is idempotent. A watch from the last page's revision would miss changes to keys of
    /// earlier pages.
    pub revision: Revision,
}

/// The result of a watch.
pub enum WatchResponse {
    /// The changes since the requested revision.
    Events {
        /// The changes, in the order in which they were committed.
        events: Vec<WatchEvent>,
        /// The revision up to which all changes are included.
        revision: Revision,
    },
    /// The store has compacted changes after the requested revision, so all keys must be loaded
    /// again.
    Compacted,
    /// The budget did not allow the watch, or there was no valid response.
    Failed,
}

impl KvClient {
    /// Reads all keys below [`ROOT`]. Returns `None` if the read of a page fails.
    pub async fn load_all(&self) -> Option<LoadedKeys> {
        let mut entries = Vec::new();
        let mut start_after = None;
        let mut first_revision = None;
        loop {
            let request = Request::List {
                prefix: ROOT.into(),
                start_after,
            };
            let Reply::Page {
                entries: page,
                more,
                revision,
            } = self.execute(request, RequestPriority::Normal).await
            else {
                return None;
            };
            let revision = *first_revision.get_or_insert(revision);
            start_after = page.last().map(|entry| entry.key.clone());
            entries.extend(page);
            if !more || start_after.is_none() {
                return Some(LoadedKeys { entries, revision });
            }
        }
    }

    /// Waits up to `WATCH_WAIT` for changes after the revision `since`.
    pub async fn watch(&self, since: Revision) -> WatchResponse {
        if !self.admit(RequestPriority::Critical, 0) {
            return WatchResponse::Failed;
        }
        let request = watch_request(ROOT, since, WATCH_WAIT);
        match self.pool.send(&request, WATCH_TIMEOUT).await {
            Ok((200, body)) => match serde_json::from_slice::<WatchBody>(&body) {
                Ok(WatchBody { revision, events }) => WatchResponse::Events { events, revision },
                Err(_) => WatchResponse::Failed,
            },
            Ok((REVISION_COMPACTED, _)) => WatchResponse::Compacted,
            _ => WatchResponse::Failed,
        }
    }
}
