//! The store's HTTP interface: requests and replies in the form that it settled.
//!
//! A reply is definite only if the store surely sent it: whatever can't be parsed leaves
//! open whether the request was carried out.

use super::reply::{KeyValue, Reply, WatchEvent};
use super::request::{Compare, Mutation, Request};
use crate::clock::Micros;
use crate::http_client::HttpRequest;
use crate::ids::{LeaseId, Revision};
use serde::Deserialize;
use serde_json::{Value, json};
use std::time::Duration;

/// The store rejected a request for its rate limit.
pub(super) const TOO_MANY_REQUESTS: u16 = 429;
/// The store no longer keeps the changes that a watch must begin at.
pub(super) const REVISION_COMPACTED: u16 = 410;
/// The store is unavailable and carried nothing out.
const SERVICE_UNAVAILABLE: u16 = 503;

/// The keys of one page of a listing.
const PAGE_SIZE: usize = 500;
/// What the body of a rejected compare-and-swap contains if its lease has ended.
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

/// The reply to a watch.
#[derive(Deserialize)]
pub(super) struct WatchBody {
    /// The revision that the events reach.
    #[serde(rename = "ledger")]
    pub(super) revision: Revision,
    /// The changes, in their order.
    #[serde(rename = "log")]
    pub(super) events: Vec<WatchEvent>,
}

/// The HTTP request that carries a request to the store.
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

/// The HTTP request that waits for changes below a prefix after a revision.
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

/// The store's reply to a request, from the status and the body of the HTTP response.
pub(super) fn read_reply(request: &Request, status: u16, body: &[u8]) -> Reply {
    match (request, status) {
        (_, TOO_MANY_REQUESTS | SERVICE_UNAVAILABLE) => Reply::Rejected,
        (Request::Get { .. }, 200) => parse(body, Reply::Value),
        (Request::Get { .. }, 404) => Reply::NotFound,
        (Request::List { .. }, 200) => parse(body, |page: PageBody| Reply::Page {
            entries: page.entries,
            more: page.more,
            revision: page.revision,
        }),
        (Request::CompareAndSwap { .. }, 200) => parse(body, |committed: CommittedBody| {
            Reply::Committed(committed.revision)
        }),
        (Request::CompareAndSwap { .. }, 409) => parse(body, |conflict: ConflictBody| {
            Reply::Conflict(conflict.failed)
        }),
        (Request::CompareAndSwap { .. }, 400) if names_ended_lease(body) => Reply::LeaseExpired,
        (Request::GrantLease { .. }, 200) => parse(body, |granted: LeaseBody| {
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

fn parse<'a, T: Deserialize<'a>>(body: &'a [u8], into_reply: impl Fn(T) -> Reply) -> Reply {
    serde_json::from_slice(body).map_or(Reply::Indeterminate, into_reply)
}

fn names_ended_lease(body: &[u8]) -> bool {
    body.windows(NO_SUCH_LEASE.len())
        .any(|window| window == NO_SUCH_LEASE)
}

#[cfg(test)]
mod tests;
