//! The HTTP form of requests to the store and of its replies.
//!
//! The paths and field names are defined by the store. A response that cannot be parsed counts
//! as indeterminate, because it does not show whether the request was carried out.

use super::reply::{KeyValue, Reply, WatchEvent};
use super::request::{Compare, Mutation, Request};
use crate::clock::Micros;
use crate::http_client::HttpRequest;
use crate::ids::{LeaseId, Revision};
use serde::Deserialize;
use serde_json::{Value, json};
use std::time::Duration;

/// Status of a request that exceeded the store's rate limit.
pub(super) const TOO_MANY_REQUESTS: u16 = 429;
/// Status of a watch whose start revision the store has compacted.
pub(super) const REVISION_COMPACTED: u16 = 410;
/// Status of a request that an unavailable store did not carry out.
const SERVICE_UNAVAILABLE: u16 = 503;

/// Maximum number of keys in one page of a listing.
const PAGE_SIZE: usize = 500;
/// Text in the body of a compare-and-swap that was rejected because its lease has ended.
const NO_SUCH_LEASE: &[u8] = b"no such lease";

#[derive(Deserialize)]
struct CommittedBody {
    #[serde(rename = "ledger")]
    revision: Revision,
}

#[derive(Deserialize)]
struct ConflictBody {
    failed: Vec<String>,
}

#[derive(Deserialize)]
struct LeaseBody {
    #[serde(rename = "tenure")]
    lease_id: LeaseId,
}

#[derive(Deserialize)]
struct PageBody {
    #[serde(rename = "rows")]
    entries: Vec<KeyValue>,
    #[serde(default)]
    more: bool,
    #[serde(rename = "ledger")]
    revision: Revision,
}

/// The body of the response to a watch.
#[derive(Deserialize)]
pub(super) struct WatchBody {
    /// The revision up to which all changes are included.
    #[serde(rename = "ledger")]
    pub(super) revision: Revision,
    /// The changes, in the order in which they were committed.
    #[serde(rename = "log")]
    pub(super) events: Vec<WatchEvent>,
}

/// Converts a request to the HTTP request that is sent to the store.
pub(crate) fn http_request(request: &Request) -> HttpRequest {
    match request {
        Request::Get { key } => HttpRequest::get(format!("/keys/{key}")),
        Request::List {
            prefix,
            start_after,
        } => {
            let since = start_after
                .as_ref()
                .map_or(String::new(), |key| format!("&since={key}"));
            HttpRequest::get(format!("/keys?starts={prefix}{since}&most={PAGE_SIZE}"))
        }
        Request::CompareAndSwap {
            compares,
            mutations,
        } => HttpRequest::post("/txn".into(), transaction_body(compares, mutations)),
        Request::GrantLease { ttl } => {
            HttpRequest::post("/leases".into(), json!({"lifeMs": whole_millis(*ttl)}))
        }
        Request::RenewLease { lease_id } => {
            HttpRequest::post(format!("/leases/{lease_id}/renew"), json!({}))
        }
        Request::RevokeLease { lease_id } => HttpRequest {
            method: "DELETE",
            path: format!("/leases/{lease_id}"),
            body: None,
        },
    }
}

/// Returns the HTTP request that waits up to `wait` for changes after the revision `since` to
/// keys with this prefix.
pub(super) fn watch_request(prefix: &str, since: Revision, wait: Duration) -> HttpRequest {
    let wait_ms = wait.as_millis();
    HttpRequest::get(format!(
        "/follow?starts={prefix}&since={since}&waitMs={wait_ms}"
    ))
}

fn transaction_body(compares: &[Compare], mutations: &[Mutation]) -> Value {
    json!({"if": compares, "then": mutations})
}

fn whole_millis(duration: Micros) -> u64 {
    const MICROS_PER_MILLI: u64 = 1_000;
    duration.0 / MICROS_PER_MILLI
}

/// Converts the status and the body of the HTTP response to the reply to `request`.
pub(super) fn parse_reply(request: &Request, status: u16, body: &[u8]) -> Reply {
    match (request, status) {
        (_, TOO_MANY_REQUESTS | SERVICE_UNAVAILABLE) => Reply::Rejected,
        (Request::Get { .. }, 200) => parse_body(body, Reply::Value),
        (Request::Get { .. }, 404) => Reply::NotFound,
        (Request::List { .. }, 200) => parse_body(body, |page: PageBody| Reply::Page {
            entries: page.entries,
            more: page.more,
            revision: page.revision,
        }),
        (Request::CompareAndSwap { .. }, 200) => parse_body(body, |committed: CommittedBody| {
            Reply::Committed(committed.revision)
        }),
        (Request::CompareAndSwap { .. }, 409) => parse_body(body, |conflict: ConflictBody| {
            Reply::Conflict(conflict.failed)
        }),
        (Request::CompareAndSwap { .. }, 400) if reports_ended_lease(body) => Reply::LeaseExpired,
        (Request::GrantLease { .. }, 200) => parse_body(body, |granted: LeaseBody| {
            Reply::LeaseGranted(granted.lease_id)
        }),
        (Request::RenewLease { .. } | Request::RevokeLease { .. }, 200..=299) => {
            Reply::Acknowledged
        }
        (Request::RenewLease { .. } | Request::RevokeLease { .. }, 404) => Reply::LeaseExpired,
        (_, 400..=499) => {
            let keys = request.keys();
            tracing::error!(status, ?keys, "store request rejected as malformed");
            Reply::Rejected
        }
        _ => Reply::Indeterminate,
    }
}

fn parse_body<'a, T: Deserialize<'a>>(body: &'a [u8], into_reply: impl Fn(T) -> Reply) -> Reply {
    serde_json::from_slice(body).map_or(Reply::Indeterminate, into_reply)
}

fn reports_ended_lease(body: &[u8]) -> bool {
    body.windows(NO_SUCH_LEASE.len())
        .any(|window| window == NO_SUCH_LEASE)
}

#[cfg(test)]
mod tests;
