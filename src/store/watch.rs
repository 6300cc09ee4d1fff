//! How a controller follows the store: one full reading, then the changes after it.

use super::client::KvClient;
use super::http::{REVISION_COMPACTED, WatchBody, watch_request};
use super::keys::ROOT;
use super::reply::{KeyValue, Reply, WatchEvent};
use super::request::{Request, RequestPriority};
use crate::ids::Revision;
use std::time::Duration;

/// A watch answers within this if nothing changes. Short: a user's query is answered by
/// the first reading begun after it came.
const WATCH_WAIT: Duration = Duration::from_millis(300);
/// A watch without an answer for so long is given up: in an outage watches stay open.
const WATCH_TIMEOUT: Duration = Duration::from_millis(1_800);

/// A full reading of the keys below [`ROOT`].
pub struct LoadedKeys {
    /// The keys, in their order.
    pub entries: Vec<KeyValue>,
    /// The revision after which a watch must begin: that of the first page. It repeats
    /// changes that the later pages hold already, which are idempotent; a watch from the
    /// last page's revision would lose changes of the first pages' keys.
    pub revision: Revision,
}

/// The result of a watch.
pub enum WatchResponse {
    /// The changes, in their order.
    Events {
        /// The changes.
        events: Vec<WatchEvent>,
        /// The revision that they reach.
        revision: Revision,
    },
    /// The store no longer keeps the changes since then: all must be read again.
    Compacted,
    /// No answer.
    Failed,
}

impl KvClient {
    /// Reads everything below [`ROOT`]; none if the store can't be read now.
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

    /// Waits up to `WATCH_WAIT` for changes after a revision.
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
