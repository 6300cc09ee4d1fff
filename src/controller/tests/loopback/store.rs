//! A fake key-value store: it serves the simulated store over the store's HTTP protocol.

use super::environment::{SharedEnvironment, body, listen, respond};
use crate::clock::Micros;
use crate::ids::{LeaseId, Revision};
use crate::store::{self, Compare, KeyValue, Mutation, Reply, WatchEvent};
use salvo::prelude::{Request, Response, Router, handler};
use serde_json::{Value, json};
use std::time::{Duration, Instant};

/// Interval at which a watch request polls for changes.
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Starts the HTTP server of the store and returns its address.
pub async fn serve(environment: &SharedEnvironment) -> String {
    let router = Router::new()
        .push(Router::with_path("keys").get(List(environment.clone())))
        .push(Router::with_path("keys/{**key}").get(Get(environment.clone())))
        .push(Router::with_path("txn").post(CompareAndSwap(environment.clone())))
        .push(Router::with_path("leases").post(GrantLease(environment.clone())))
        .push(Router::with_path("leases/{id}/renew").post(RenewLease(environment.clone())))
        .push(Router::with_path("leases/{id}").delete(RevokeLease(environment.clone())))
        .push(Router::with_path("follow").get(Watch(environment.clone())));
    listen(router).await
}

fn entry_body(entry: &KeyValue) -> Value {
    json!({"k": entry.key, "value": entry.value, "stamp": entry.revision})
}

fn event_body(event: &WatchEvent) -> Value {
    match &event.set {
        Some(key) => json!({"set": key, "value": event.value, "stamp": event.revision}),
        None => json!({"delete": event.delete, "stamp": event.revision}),
    }
}

fn string_field(value: &Value, field: &str) -> String {
    value[field].as_str().unwrap_or_default().to_owned()
}

fn read_compare(value: &Value) -> Compare {
    Compare {
        key: string_field(value, "k"),
        revision: Revision(value["stamp"].as_u64().unwrap_or(0)),
    }
}

fn read_mutation(value: &Value) -> Mutation {
    match value.get("set") {
        Some(_) => Mutation::Set {
            key: string_field(value, "set"),
            value: value["value"].clone(),
            lease_id: value["tenure"].as_u64().map(LeaseId),
        },
        None => Mutation::Delete {
            key: string_field(value, "delete"),
        },
    }
}

fn lease_id(request: &Request) -> LeaseId {
    LeaseId(request.param::<u64>("id").unwrap_or(0))
}

struct List(SharedEnvironment);
struct Get(SharedEnvironment);
struct CompareAndSwap(SharedEnvironment);
struct GrantLease(SharedEnvironment);
struct RenewLease(SharedEnvironment);
struct RevokeLease(SharedEnvironment);
struct Watch(SharedEnvironment);

#[handler]
impl List {
    async fn handle(&self, response: &mut Response) {
        let environment = self.0.lock();
        let rows: Vec<Value> = environment.store.entries().iter().map(entry_body).collect();
        respond(
            response,
            200,
            &json!({"rows": rows, "more": false, "ledger": environment.store.revision}),
        );
    }
}

#[handler]
impl Get {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let key = request.param::<String>("key").unwrap_or_default();
        match self.0.lock().send_to_store(store::Request::Get { key }) {
            Reply::Value(entry) => respond(response, 200, &entry_body(&entry)),
            _ => respond(response, 404, &json!({"ledger": 1})),
        }
    }
}

#[handler]
impl CompareAndSwap {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let body = body(request).await;
        let list = |field: &str| body[field].as_array().cloned().unwrap_or_default();
        let request = store::Request::CompareAndSwap {
            compares: list("if").iter().map(read_compare).collect(),
            mutations: list("then").iter().map(read_mutation).collect(),
        };
        match self.0.lock().send_to_store(request) {
            Reply::Committed(revision) => respond(response, 200, &json!({"ledger": revision})),
            Reply::Conflict(failed) => {
                respond(response, 409, &json!({"failed": failed, "ledger": 1}));
            }
            _ => respond(response, 400, &json!({"error": "no such lease"})),
        }
    }
}

#[handler]
impl GrantLease {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let ttl = body(request).await["lifeMs"].as_u64().unwrap_or(1_000);
        let ttl = Micros::from_millis(ttl);
        let reply = self
            .0
            .lock()
            .send_to_store(store::Request::GrantLease { ttl });
        if let Reply::LeaseGranted(id) = reply {
            respond(response, 200, &json!({"tenure": id}));
        }
    }
}

#[handler]
impl RenewLease {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let lease_id = lease_id(request);
        let reply = self
            .0
            .lock()
            .send_to_store(store::Request::RenewLease { lease_id });
        let status = if reply == Reply::Acknowledged {
            200
        } else {
            404
        };
        respond(response, status, &json!({}));
    }
}

#[handler]
impl RevokeLease {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let lease_id = lease_id(request);
        self.0
            .lock()
            .send_to_store(store::Request::RevokeLease { lease_id });
        respond(response, 200, &json!({}));
    }
}

#[handler]
impl Watch {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let since = request.query::<u64>("since").unwrap_or(0);
        let wait = Duration::from_millis(request.query::<u64>("waitMs").unwrap_or(0));
        let deadline = Instant::now() + wait;
        loop {
            {
                let mut environment = self.0.lock();
                let now = environment.now();
                environment.store.expire_leases(now);
                let events = environment.store.events_after(since);
                if !events.is_empty() || Instant::now() >= deadline {
                    let log: Vec<Value> = events.iter().map(event_body).collect();
                    let revision = environment.store.revision;
                    respond(response, 200, &json!({"ledger": revision, "log": log}));
                    return;
                }
            }
            tokio::time::sleep(WATCH_POLL_INTERVAL).await;
        }
    }
}
