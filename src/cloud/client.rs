//! HTTP to the cloud, below its limit at all times.

use super::{CloudMachine, CloudReply, CloudRequest, MachineType};
use crate::clock::MonotonicClock;
use crate::http_client::{ConnectionPool, HttpRequest};
use crate::ids::MachineId;
use crate::store::client::TokenBucket;
use serde::Deserialize;
use serde_json::json;
use std::cell::RefCell;
use std::time::Duration;

/// A client of the cloud's interface.
pub struct CloudClient {
    pool: ConnectionPool,
    bucket: RefCell<TokenBucket>,
    clock: MonotonicClock,
}

const DEADLINE: Duration = Duration::from_secs(6);
const PAGE: usize = 500;

#[derive(Deserialize)]
struct MachineTypesPage {
    #[serde(rename = "builds")]
    machine_types: Vec<MachineType>,
}
#[derive(Deserialize)]
struct Rented {
    rigs: Vec<MachineId>,
}
#[derive(Deserialize)]
struct List {
    rigs: Vec<CloudMachine>,
    #[serde(default)]
    more: bool,
}

impl CloudClient {
    /// A client that stays below `rps` requests a second.
    pub fn new(pool: ConnectionPool, clock: MonotonicClock, rps: f64) -> Self {
        // Only the leader calls regularly; the others' few calls at their start
        // fit into what is left.
        CloudClient {
            pool,
            bucket: RefCell::new(TokenBucket::new(rps * 0.75, clock.now())),
            clock,
        }
    }

    /// Asks once, as soon as the limit allows.
    pub async fn execute(&self, request: &CloudRequest) -> CloudReply {
        match request {
            CloudRequest::MachineTypes => match self.send(http_request(request)).await {
                Some((200, b)) => read(&b)
                    .map_or(CloudReply::Indeterminate, |t: MachineTypesPage| {
                        CloudReply::MachineTypes(t.machine_types)
                    }),
                _ => CloudReply::Indeterminate,
            },
            CloudRequest::Machines => self
                .list()
                .await
                .map_or(CloudReply::Indeterminate, CloudReply::Machines),
            CloudRequest::ScaleOut(..) => {
                match self.send(http_request(request)).await {
                    Some((200, b)) => read(&b).map_or(CloudReply::Indeterminate, |r: Rented| {
                        CloudReply::Rented(r.rigs)
                    }),
                    Some((503, b)) if contains(&b, b"no capacity") => CloudReply::NoCapacity,
                    // Malformed: it was not carried out and never will be.
                    Some((400, _)) => CloudReply::NoCapacity,
                    _ => CloudReply::Indeterminate,
                }
            }
            CloudRequest::Release(_) => match self.send(http_request(request)).await {
                Some((200, _)) => CloudReply::Released,
                _ => CloudReply::Indeterminate,
            },
        }
    }

    async fn list(&self) -> Option<Vec<CloudMachine>> {
        let mut all: Vec<CloudMachine> = Vec::new();
        loop {
            let last = all.last().map(|machine| &machine.id);
            let (status, body) = self.send(list_request(last)).await?;
            let page: List = if status == 200 {
                read(&body)?
            } else {
                return None;
            };
            let more = page.more && !page.rigs.is_empty();
            all.extend(page.rigs);
            if !more {
                return Some(all);
            }
        }
    }

    async fn send(&self, request: HttpRequest) -> Option<(u16, bytes::Bytes)> {
        loop {
            if self.bucket.borrow_mut().take(self.clock.now(), 1.0, 0.0) {
                break;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        self.pool.send(&request, DEADLINE).await.ok()
    }
}

/// The request as the cloud's interface has it; of a list, its first page.
pub(crate) fn http_request(request: &CloudRequest) -> HttpRequest {
    match request {
        CloudRequest::MachineTypes => HttpRequest::get("/machine_types".into()),
        CloudRequest::Machines => list_request(None),
        CloudRequest::ScaleOut(name, rental) => {
            let body = json!({"hire": name, "build": rental.machine_type, "yard": rental.zone,
                              "loaners": rental.spot, "howMany": rental.count});
            HttpRequest::post("/machines".into(), body)
        }
        CloudRequest::Release(ids) => {
            HttpRequest::post("/machines/return".into(), json!({"rigs": ids}))
        }
    }
}

/// The page of the machines' list after this one.
fn list_request(last: Option<&MachineId>) -> HttpRequest {
    let since = last.map_or(String::new(), |id| format!("since={id}&"));
    HttpRequest::get(format!("/machines?{since}most={PAGE}"))
}

fn read<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Option<T> {
    serde_json::from_slice(body).ok()
}

fn contains(body: &[u8], what: &[u8]) -> bool {
    body.windows(what.len()).any(|w| w == what)
}

#[cfg(test)]
mod tests;
