//! HTTP to the state service, within this controller's share of its budget.

use super::{Compare, KeyValue, Mutation, ROOT, Reply, Request, RequestPriority, WatchEvent};
use crate::clock::{Micros, MonotonicClock};
use crate::http_client::{ConnectionPool, HttpRequest, RequestError};
use crate::ids::{LeaseId, Revision};
use crate::settings::StateLimits;
use serde::Deserialize;
use serde_json::{Value, json};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// A bucket that refills at a steady rate; burst: one second's worth.
#[derive(Debug)]
pub struct TokenBucket {
    rate: f64,
    level: f64,
    at: Micros,
}

impl TokenBucket {
    /// A full bucket of this rate, in units a second.
    pub fn new(rate: f64, now: Micros) -> Self {
        TokenBucket {
            rate,
            level: rate,
            at: now,
        }
    }

    fn refill(&mut self, now: Micros) {
        self.level =
            (self.level + now.since(self.at).as_secs() * self.rate).min(self.rate.max(1.0));
        self.at = now;
    }

    /// Takes `n` if that leaves `keep` (a share of the burst) for others.
    pub fn take(&mut self, now: Micros, n: f64, keep: f64) -> bool {
        self.refill(now);
        // More than the bucket ever holds for this may be taken at once, as a debt:
        // or what is larger than that would wait for ever.
        let most = (1.0 - keep).min(1.0) * self.rate;
        if self.level - n.min(most) < keep * self.rate - 1e-9 {
            return false;
        }
        self.level -= n;
        true
    }
}

/// A bucket whose rate follows what the others leave: it rises slowly, and falls as soon
/// as the service refuses a request for its limit. Guards against an owner that may use
/// only its even share of the changes while the other controllers need almost none.
#[derive(Debug)]
pub struct AdaptiveTokenBucket {
    bucket: TokenBucket,
    least: f64,
    most: f64,
    /// The highest rate once the service has refused a request for its limit.
    most_refused: f64,
    risen: Micros,
    fell: Micros,
}

/// How much of its highest rate a bucket's rate rises by in a second.
const RISE: f64 = 0.02;
/// What is left of the rate when a request was refused for the limit.
const FALL: f64 = 0.7;
/// Refusals this soon after one say nothing new.
const FALL_GAP: Micros = Micros::from_millis(500);

impl AdaptiveTokenBucket {
    /// A bucket that begins at its least rate. A refusal says that the coming limit may
    /// hold by now: from then on it rises to `most_refused` only. Guards against a bucket
    /// that goes on rising above a limit that has fallen, so that all are refused.
    pub fn new(least: f64, most: f64, most_refused: f64, now: Micros) -> Self {
        AdaptiveTokenBucket {
            bucket: TokenBucket::new(least, now),
            least,
            most: most.max(least),
            most_refused: most_refused.max(least),
            risen: now,
            fell: Micros::ZERO,
        }
    }

    /// As [`Bucket::take`].
    pub fn take(&mut self, now: Micros, n: f64, keep: f64) -> bool {
        let rise = now.since(self.risen).as_secs() * self.most * RISE;
        self.risen = now;
        self.set_rate(now, self.bucket.rate + rise);
        self.bucket.take(now, n, keep)
    }

    /// The service has refused a request for its limit.
    pub fn over_limit(&mut self, now: Micros) {
        if now.since(self.fell) >= FALL_GAP {
            self.fell = now;
            self.most = self.most.min(self.most_refused);
            self.set_rate(now, self.bucket.rate * FALL);
        }
    }

    fn set_rate(&mut self, now: Micros, rate: f64) {
        self.bucket.refill(now);
        self.bucket.rate = rate.clamp(self.least, self.most);
    }
}

struct Budget {
    requests: TokenBucket,
    writes: AdaptiveTokenBucket,
}

/// A handle for asking the state service; cheap to clone.
#[derive(Clone)]
pub struct KvClient {
    pool: Rc<ConnectionPool>,
    budget: Rc<RefCell<Budget>>,
    value_bytes: usize,
    clock: MonotonicClock,
}

/// Nobody waits longer than this for the store.
const DEADLINE: Duration = Duration::from_millis(2500);
/// A watch answers within this if nothing changes. Short: what users ask is
/// answered by the first reading begun after they asked.
const WATCH_MS: u64 = 300;
/// A reading that hangs for so long is given up: in an outage watches stay open.
const WATCH_DEADLINE: Duration = Duration::from_millis(1_800);
/// Controllers rarely need their share all at once, and what is over the limit is
/// refused and asked again: each may use so many shares.
const OVERBOOKED: f64 = 2.0;
/// The part of the changes that one controller may come to use while the others leave it.
const MOST_PART: f64 = 0.85;
const WAIT: Duration = Duration::from_millis(40);

#[derive(Deserialize)]
struct CommittedBody {
    #[serde(rename = "ledger")]
    revision: u64,
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
    rows: Vec<KeyValue>,
    #[serde(default)]
    more: bool,
    #[serde(rename = "ledger")]
    revision: u64,
}
#[derive(Deserialize)]
struct WatchBody {
    #[serde(rename = "ledger")]
    revision: u64,
    log: Vec<WatchEvent>,
}

impl KvClient {
    /// `share` of the service's limits is this controller's.
    pub fn new(
        pool: Rc<ConnectionPool>,
        clock: MonotonicClock,
        limits: &StateLimits,
        share: f64,
    ) -> Self {
        let now = clock.now();
        let part = (share * OVERBOOKED).min(1.0);
        let lasting = limits.lowest_write_rps();
        let budget = Budget {
            requests: TokenBucket::new(limits.lowest_rps() * part, now),
            writes: AdaptiveTokenBucket::new(
                lasting * part,
                limits.write_rps * MOST_PART,
                lasting * MOST_PART,
                now,
            ),
        };
        KvClient {
            pool,
            budget: Rc::new(RefCell::new(budget)),
            value_bytes: limits.lowest_value_bytes(),
            clock,
        }
    }

    fn admit(&self, priority: RequestPriority, writes: usize) -> bool {
        let now = self.clock.now();
        let mut b = self.budget.borrow_mut();
        // Renewals are never refused here; the rest leaves room for them.
        let keep = match priority {
            RequestPriority::Critical => -1.0,
            RequestPriority::Normal => 0.1,
            RequestPriority::Background => 0.35,
        };
        if writes > 0 && !b.writes.take(now, writes as f64, keep) {
            return false;
        }
        b.requests.take(now, 1.0, keep)
    }

    /// Asks, waiting a little for the budget where it is used up.
    pub async fn execute(&self, request: Request, priority: RequestPriority) -> Reply {
        let writes = match &request {
            Request::CompareAndSwap { mutations, .. } => {
                // It would be refused for its size, now or under the coming limits: it is
                // not sent at all.
                if let Some((key, bytes)) = oversize(mutations, self.value_bytes) {
                    tracing::error!(key, bytes, "a value is too large to be written");
                    return Reply::Rejected;
                }
                mutations.len()
            }
            _ => 0,
        };
        let until = self.clock.now() + Micros::from_millis(800);
        loop {
            if self.admit(priority, writes) {
                match self.send(&request).await {
                    Sent::OverLimit if writes > 0 => {
                        self.budget.borrow_mut().writes.over_limit(self.clock.now());
                        if priority == RequestPriority::Background {
                            return Reply::Rejected;
                        }
                    }
                    // Others used what was left of the limit: once more, a little later.
                    Sent::OverLimit if priority != RequestPriority::Background => {}
                    Sent::OverLimit => return Reply::Rejected,
                    Sent::Reply(reply) => return reply,
                }
            }
            if self.clock.now() >= until {
                return Reply::Rejected;
            }
            tokio::time::sleep(WAIT).await;
        }
    }

    async fn send(&self, request: &Request) -> Sent {
        let http = http_request(request);
        let sent = self.pool.send(&http, DEADLINE).await;
        Sent::Reply(match sent {
            Ok((429, _)) => return Sent::OverLimit,
            Ok((status, body)) => read_reply(request, status, &body),
            Err(RequestError::NotSent) => Reply::Rejected,
            Err(RequestError::NoAnswer) => Reply::Indeterminate,
        })
    }

    /// Reads everything below the root; none if the store can't be read now.
    pub async fn load_all(&self) -> Option<(Vec<KeyValue>, u64)> {
        let (mut all, mut since, mut first) = (Vec::new(), None, None);
        loop {
            let request = Request::List {
                prefix: ROOT.into(),
                start_after: since,
            };
            let Reply::Page {
                entries: rows,
                more,
                revision,
            } = self.execute(request, RequestPriority::Normal).await
            else {
                return None;
            };
            // Following from the first page's revision repeats changes; they are
            // idempotent. Following from the last page's would lose some.
            let from = *first.get_or_insert(revision);
            since = rows.last().map(|r| r.key.clone());
            all.extend(rows);
            if !more || since.is_none() {
                return Some((all, from));
            }
        }
    }

    /// Waits for a moment for changes after a revision.
    pub async fn watch(&self, since: u64) -> WatchResponse {
        if !self.admit(RequestPriority::Critical, 0) {
            return WatchResponse::Failed;
        }
        let path = format!("/follow?starts={ROOT}&since={since}&waitMs={WATCH_MS}");
        match self
            .pool
            .send(&HttpRequest::get(path), WATCH_DEADLINE)
            .await
        {
            Ok((200, body)) => match serde_json::from_slice::<WatchBody>(&body) {
                Ok(log) => WatchResponse::Events(log.log, log.revision),
                Err(_) => WatchResponse::Failed,
            },
            // Too far behind: read the keys once more.
            Ok((410, _)) => WatchResponse::Compacted,
            _ => WatchResponse::Failed,
        }
    }
}

enum Sent {
    Reply(Reply),
    /// 429: surely not carried out.
    OverLimit,
}

/// What a watch gave.
pub enum WatchResponse {
    /// Changes, and the revision that they reach.
    Events(Vec<WatchEvent>, u64),
    /// Too far behind: all must be read again.
    Compacted,
    /// No answer.
    Failed,
}

/// The first value that is larger than this, and its size.
fn oversize(mutations: &[Mutation], most: usize) -> Option<(&str, usize)> {
    mutations.iter().find_map(|op| match op {
        Mutation::Set { key, value, .. } => {
            let bytes = serde_json::to_vec(value).map_or(0, |v| v.len());
            (bytes > most).then_some((key.as_str(), bytes))
        }
        Mutation::Delete { .. } => None,
    })
}

/// The request as the state service's interface has it.
pub(crate) fn http_request(request: &Request) -> HttpRequest {
    match request {
        Request::Get { key } => HttpRequest::get(format!("/keys/{key}")),
        Request::List {
            prefix: starts,
            start_after: since,
        } => {
            let since = since
                .as_ref()
                .map_or(String::new(), |key| format!("&since={key}"));
            HttpRequest::get(format!("/keys?starts={starts}{since}&most=500"))
        }
        Request::CompareAndSwap {
            compares,
            mutations,
        } => HttpRequest::post("/txn".into(), txn_body(compares, mutations)),
        Request::GrantLease { ttl: life } => {
            HttpRequest::post("/leases".into(), json!({"lifeMs": life.0 / 1000}))
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

fn txn_body(compares: &[Compare], mutations: &[Mutation]) -> Value {
    json!({"if": compares, "then": mutations})
}

fn read_reply(request: &Request, status: u16, body: &[u8]) -> Reply {
    fn parse<'a, T: Deserialize<'a>>(body: &'a [u8], to: impl Fn(T) -> Reply) -> Reply {
        serde_json::from_slice(body).map_or(Reply::Indeterminate, to)
    }
    match (request, status) {
        (_, 429 | 503) => Reply::Rejected,
        (Request::Get { .. }, 200) => parse(body, Reply::Value),
        (Request::Get { .. }, 404) => Reply::NotFound,
        (Request::List { .. }, 200) => parse(body, |r: PageBody| Reply::Page {
            entries: r.rows,
            more: r.more,
            revision: r.revision,
        }),
        (Request::CompareAndSwap { .. }, 200) => parse(body, |l: CommittedBody| {
            Reply::Committed(Revision(l.revision))
        }),
        (Request::CompareAndSwap { .. }, 409) => {
            parse(body, |f: ConflictBody| Reply::Conflict(f.failed))
        }
        (Request::CompareAndSwap { .. }, 400)
            if body.windows(13).any(|w| w == b"no such lease") =>
        {
            Reply::LeaseExpired
        }
        (Request::GrantLease { .. }, 200) => {
            parse(body, |l: LeaseBody| Reply::LeaseGranted(l.lease_id))
        }
        (Request::RenewLease { .. } | Request::RevokeLease { .. }, 200..=299) => {
            Reply::Acknowledged
        }
        (Request::RenewLease { .. } | Request::RevokeLease { .. }, 404) => Reply::LeaseExpired,
        (_, 400..=499) => {
            tracing::error!(
                status,
                keys = ?keys_of(request),
                "the state service calls a request malformed"
            );
            Reply::Rejected
        }
        _ => Reply::Indeterminate,
    }
}

/// The keys that a request names.
fn keys_of(request: &Request) -> Vec<&str> {
    match request {
        Request::Get { key } => vec![key],
        Request::List { prefix: starts, .. } => vec![starts],
        Request::CompareAndSwap { mutations, .. } => mutations
            .iter()
            .map(|op| match op {
                Mutation::Set { key, .. } | Mutation::Delete { key } => key.as_str(),
            })
            .collect(),
        Request::GrantLease { .. } | Request::RenewLease { .. } | Request::RevokeLease { .. } => {
            Vec::new()
        }
    }
}

#[cfg(test)]
mod tests;
