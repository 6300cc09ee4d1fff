//! A state service, a cloud and workers that listen on loopback, around the scripted ones.

use super::super::world::{FakeStore, FakeWorker};
use crate::clock::Micros;
use crate::cloud::MachineType;
use crate::http_client::{ConnectionPool, HttpRequest};
use crate::ids::{FencingToken, LeaseId, Revision};
use crate::store::{self, Compare, KeyValue, Mutation, Reply, WatchEvent};
use crate::workers::WorkerCommand;
use salvo::conn::{Listener, TcpListener};
use salvo::http::StatusCode;
use salvo::prelude::{Request, Response, Router, Server, Service, handler};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// One start of a task on a machine.
#[derive(Debug, Clone, PartialEq)]
pub struct Start {
    pub at: Micros,
    pub task: String,
    pub machine: usize,
}

/// All that the stand-ins know.
pub struct Site {
    begun: Instant,
    pub store: FakeStore,
    pub workers: Vec<FakeWorker>,
    pub addresses: Vec<String>,
    pub types: Vec<MachineType>,
    pub lease: Micros,
    /// How long tasks run; none: until that is said.
    pub task_time: Option<Micros>,
    /// Machines that are cut off from everything, tasks and all.
    pub cut: BTreeSet<usize>,
    pub returned: BTreeSet<usize>,
    pub starts: Vec<Start>,
    running: BTreeMap<String, Micros>,
}

/// The site, shared by all that listen.
#[derive(Clone)]
pub struct Shared(Arc<Mutex<Site>>);

impl Site {
    pub fn new(types: Vec<MachineType>, lease: Micros) -> Site {
        Site {
            begun: Instant::now(),
            store: FakeStore::default(),
            workers: Vec::new(),
            addresses: Vec::new(),
            types,
            lease,
            task_time: None,
            cut: BTreeSet::new(),
            returned: BTreeSet::new(),
            starts: Vec::new(),
            running: BTreeMap::new(),
        }
    }

    pub fn now(&self) -> Micros {
        Micros(self.begun.elapsed().as_micros() as u64)
    }

    fn is_there(&self, worker: usize) -> bool {
        !self.cut.contains(&worker) && !self.returned.contains(&worker)
    }

    /// What happens on a machine by itself: its lease and its tasks end.
    fn work(&mut self, worker: usize) {
        let (now, lease, time) = (self.now(), self.lease, self.task_time);
        let w = &mut self.workers[worker];
        if now.since(w.last_answer) > lease {
            w.agent_epoch += 1;
            w.tasks.clear();
            w.last_answer = now;
        }
        for (task, state) in w.tasks.iter_mut().filter(|(_, s)| s.1 == "running") {
            let began = *w.began.entry(task.clone()).or_insert(now);
            if time.is_some_and(|time| now.since(began) >= time) {
                *state = (state.0, "exited".into(), Some("done".into()));
            }
        }
        w.began.retain(|task, _| w.tasks.contains_key(task));
    }

    fn carry_out(&mut self, worker: usize, orders: &[WorkerCommand]) {
        let now = self.now();
        self.workers[worker].run(orders);
        for (task, _) in std::mem::take(&mut self.workers[worker].launched) {
            self.running.insert(task.clone(), now);
            self.starts.push(Start {
                at: now,
                task,
                machine: worker,
            });
        }
    }

    /// Tasks that run on two machines now; a returned machine runs nothing.
    pub fn doubled(&self) -> Vec<String> {
        let mut seen = BTreeSet::new();
        let mut doubled = Vec::new();
        let alive = (0..self.workers.len()).filter(|w| !self.returned.contains(w));
        for task in alive.flat_map(|w| self.workers[w].running("")) {
            if !seen.insert(task) {
                doubled.push(task.to_owned());
            }
        }
        doubled
    }

    pub fn running(&self) -> usize {
        let alive = (0..self.workers.len()).filter(|w| !self.returned.contains(w));
        alive.map(|w| self.workers[w].running("").count()).sum()
    }
}

impl Shared {
    pub fn new(site: Site) -> Shared {
        Shared(Arc::new(Mutex::new(site)))
    }

    pub fn lock(&self) -> MutexGuard<'_, Site> {
        self.0.lock().expect("nobody panics with it")
    }

    /// Starts to listen on an address of its own, and gives it.
    async fn listen(router: Router) -> String {
        let address = super::own_address();
        let acceptor = TcpListener::new(address.clone()).bind().await;
        tokio::spawn(Server::new(acceptor).serve(Service::new(router)));
        address
    }

    pub async fn serve_store(&self) -> String {
        let router = Router::new()
            .push(Router::with_path("keys").get(List(self.clone())))
            .push(Router::with_path("keys/{**key}").get(Get(self.clone())))
            .push(Router::with_path("txn").post(Txn(self.clone())))
            .push(Router::with_path("leases").post(NewLease(self.clone())))
            .push(Router::with_path("leases/{id}/renew").post(Renew(self.clone())))
            .push(Router::with_path("leases/{id}").delete(EndLease(self.clone())))
            .push(Router::with_path("follow").get(Follow(self.clone())));
        Shared::listen(router).await
    }

    pub async fn serve_cloud(&self) -> String {
        let router = Router::new()
            .push(Router::with_path("machine_types").get(MachineTypes(self.clone())))
            .push(
                Router::with_path("machines")
                    .get(Machines(self.clone()))
                    .post(NoCapacity),
            )
            .push(Router::with_path("machines/return").post(Return(self.clone())));
        Shared::listen(router).await
    }

    /// A worker that listens for direct commands and reports to the controllers.
    pub async fn add_worker(&self, zone: &'static str, controllers: Vec<String>) {
        let at = {
            let mut site = self.lock();
            let (at, now) = (site.workers.len(), site.now());
            site.workers.push(FakeWorker::new(at, "small", zone, now));
            at
        };
        let router =
            Router::new().push(Router::with_path("do").post(DirectCommand(self.clone(), at)));
        let address = Shared::listen(router).await;
        self.lock().addresses.push(address);
        tokio::task::spawn_local(report(self.clone(), at, controllers));
    }
}

const REPORT_EVERY: Duration = Duration::from_millis(400);

/// Reports to one controller after the other until one answers.
async fn report(site: Shared, at: usize, controllers: Vec<String>) {
    let pools: Vec<_> = controllers
        .iter()
        .map(|address| ConnectionPool::new(address.clone(), 2))
        .collect();
    let mut node = at % pools.len();
    loop {
        tokio::time::sleep(REPORT_EVERY).await;
        let body = {
            let mut site = site.lock();
            if !site.is_there(at) {
                continue;
            }
            site.work(at);
            let mut body = serde_json::to_value(report_of(&mut site, at)).expect("a report");
            body["addr"] = site.addresses[at].clone().into();
            body
        };
        let request = HttpRequest::post("/checkin".into(), body);
        match pools[node].send(&request, Duration::from_secs(2)).await {
            Ok((200, answer)) => {
                let answer: Value = serde_json::from_slice(&answer).unwrap_or_default();
                let mut site = site.lock();
                if site.is_there(at) {
                    obey(&mut site, at, &answer);
                }
            }
            _ => node = (node + 1) % pools.len(),
        }
    }
}

fn report_of(site: &mut Site, at: usize) -> Value {
    let worker = &mut site.workers[at];
    worker.heartbeat_sequence += 1;
    worker.shown_token = worker.fencing_token;
    let tasks: Vec<Value> = worker
        .tasks
        .iter()
        .map(|(task, (attempt, state, cause))| {
            json!({"hand": task, "try": attempt, "standing": state, "cause": cause})
        })
        .collect();
    json!({"rig": worker.id, "addr": "", "build": worker.machine_type, "yard": worker.zone,
           "loaners": false, "shift": worker.agent_epoch, "tally": worker.heartbeat_sequence,
           "baton": worker.fencing_token, "hands": tasks})
}

fn obey(site: &mut Site, at: usize, answer: &Value) {
    let token = FencingToken(answer["baton"].as_u64().unwrap_or(0));
    if token < site.workers[at].fencing_token {
        return;
    }
    let now = site.now();
    site.workers[at].fencing_token = token;
    site.workers[at].last_answer = now;
    let orders = read_orders(&answer["orders"]);
    site.carry_out(at, &orders);
}

fn read_orders(orders: &Value) -> Vec<WorkerCommand> {
    let read = |order: &Value| {
        let task = order["hand"].as_str()?.to_owned();
        let attempt = crate::ids::AttemptId(order["try"].as_u64()?);
        Some(match order["verb"].as_str()? {
            "launch" => WorkerCommand::Launch { task, attempt },
            "halt" => WorkerCommand::Stop {
                task,
                attempt,
                grace_period_s: 0.0,
            },
            _ => WorkerCommand::Reap { task, attempt },
        })
    };
    orders
        .as_array()
        .into_iter()
        .flatten()
        .filter_map(read)
        .collect()
}

async fn body(req: &mut Request) -> Value {
    let bytes = req.payload().await.map(|b| b.to_vec()).unwrap_or_default();
    serde_json::from_slice(&bytes).unwrap_or_default()
}

fn send(res: &mut Response, status: u16, body: &Value) {
    res.status_code(StatusCode::from_u16(status).expect("a status"));
    let _ = res.write_body(body.to_string());
}

fn row(row: &KeyValue) -> Value {
    json!({"k": row.key, "value": row.value, "stamp": row.revision})
}

fn change(change: &WatchEvent) -> Value {
    match &change.set {
        Some(key) => json!({"set": key, "value": change.value, "stamp": change.revision}),
        None => json!({"delete": change.delete, "stamp": change.revision}),
    }
}

struct List(Shared);
struct Get(Shared);
struct Txn(Shared);
struct NewLease(Shared);
struct Renew(Shared);
struct EndLease(Shared);
struct Follow(Shared);
struct MachineTypes(Shared);
struct Machines(Shared);
struct NoCapacity;
struct Return(Shared);
struct DirectCommand(Shared, usize);

impl Shared {
    fn ask(&self, request: store::Request) -> Reply {
        let mut site = self.lock();
        let now = site.now();
        site.store.answer(now, request)
    }
}

#[handler]
impl List {
    async fn handle(&self, res: &mut Response) {
        let site = self.0.lock();
        let rows: Vec<Value> = site.store.rows().iter().map(row).collect();
        send(
            res,
            200,
            &json!({"rows": rows, "more": false, "ledger": site.store.revision}),
        );
    }
}

#[handler]
impl Get {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let key = req.param::<String>("key").unwrap_or_default();
        match self.0.ask(store::Request::Get { key }) {
            Reply::Value(found) => send(res, 200, &row(&found)),
            _ => send(res, 404, &json!({"ledger": 1})),
        }
    }
}

#[handler]
impl Txn {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let body = body(req).await;
        let key = |v: &Value, name: &str| v[name].as_str().unwrap_or_default().to_owned();
        let cond = |v: &Value| Compare {
            key: key(v, "k"),
            revision: Revision(v["stamp"].as_u64().unwrap_or(0)),
        };
        let op = |v: &Value| match v.get("set") {
            Some(_) => Mutation::Set {
                key: key(v, "set"),
                value: v["value"].clone(),
                lease_id: v["tenure"].as_u64().map(LeaseId),
            },
            None => Mutation::Delete {
                key: key(v, "delete"),
            },
        };
        let compares = body["if"]
            .as_array()
            .into_iter()
            .flatten()
            .map(cond)
            .collect();
        let mutations = body["then"]
            .as_array()
            .into_iter()
            .flatten()
            .map(op)
            .collect();
        match self.0.ask(store::Request::CompareAndSwap {
            compares,
            mutations,
        }) {
            Reply::Committed(revision) => send(res, 200, &json!({"ledger": revision})),
            Reply::Conflict(failed) => send(res, 409, &json!({"failed": failed, "ledger": 1})),
            _ => send(res, 400, &json!({"error": "no such lease"})),
        }
    }
}

#[handler]
impl NewLease {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let life = body(req).await["lifeMs"].as_u64().unwrap_or(1_000);
        let life = Micros::from_millis(life);
        if let Reply::LeaseGranted(id) = self.0.ask(store::Request::GrantLease { ttl: life }) {
            send(res, 200, &json!({"tenure": id}));
        }
    }
}

fn lease_id(req: &Request) -> LeaseId {
    LeaseId(req.param::<u64>("id").unwrap_or(0))
}

#[handler]
impl Renew {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let reply = self.0.ask(store::Request::RenewLease {
            lease_id: lease_id(req),
        });
        let status = if reply == Reply::Acknowledged {
            200
        } else {
            404
        };
        send(res, status, &json!({}));
    }
}

#[handler]
impl EndLease {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        self.0.ask(store::Request::RevokeLease {
            lease_id: lease_id(req),
        });
        send(res, 200, &json!({}));
    }
}

#[handler]
impl Follow {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let since = req.query::<u64>("since").unwrap_or(0);
        let wait = Duration::from_millis(req.query::<u64>("waitMs").unwrap_or(0));
        let until = Instant::now() + wait;
        loop {
            {
                let mut site = self.0.lock();
                let now = site.now();
                site.store.expire(now);
                let log = &site.store.log;
                let new = log.partition_point(|c| c.revision.0 <= since);
                if new < log.len() || Instant::now() >= until {
                    let log: Vec<Value> = log[new..].iter().map(change).collect();
                    send(
                        res,
                        200,
                        &json!({"ledger": site.store.revision, "log": log}),
                    );
                    return;
                }
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

#[handler]
impl MachineTypes {
    async fn handle(&self, res: &mut Response) {
        let types = self.0.lock().types.clone();
        send(res, 200, &json!({"builds": types}));
    }
}

#[handler]
impl Machines {
    async fn handle(&self, res: &mut Response) {
        let site = self.0.lock();
        let there = (0..site.workers.len()).filter(|w| !site.returned.contains(w));
        let rigs: Vec<Value> = there
            .map(|w| {
                let (worker, addr) = (&site.workers[w], &site.addresses[w]);
                json!({"id": worker.id, "addr": addr, "build": worker.machine_type, "yard": worker.zone,
                       "loaners": false, "standing": "running", "heldS": 60.0})
            })
            .collect();
        send(res, 200, &json!({"rigs": rigs, "more": false}));
    }
}

#[handler]
impl NoCapacity {
    async fn handle(&self, res: &mut Response) {
        send(res, 503, &json!({"error": "no capacity"}));
    }
}

#[handler]
impl Return {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let body = body(req).await;
        let ids: Vec<&str> = body["rigs"]
            .as_array()
            .into_iter()
            .flatten()
            .filter_map(Value::as_str)
            .collect();
        let mut site = self.0.lock();
        let gone: Vec<usize> = (0..site.workers.len())
            .filter(|w| ids.contains(&site.workers[*w].id.as_str()))
            .collect();
        for worker in gone {
            site.workers[worker].tasks.clear();
            site.returned.insert(worker);
        }
        send(res, 200, &json!({}));
    }
}

#[handler]
impl DirectCommand {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let body = body(req).await;
        while self.0.lock().cut.contains(&self.1) {
            // Behind a cut a connection hangs.
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        let mut site = self.0.lock();
        site.work(self.1);
        let worker = &mut site.workers[self.1];
        let token = FencingToken(body["baton"].as_u64().unwrap_or(0));
        let is_valid =
            token >= worker.fencing_token && body["shift"].as_u64() == Some(worker.agent_epoch);
        if is_valid {
            worker.fencing_token = token;
            let orders = read_orders(&body["orders"]);
            site.carry_out(self.1, &orders);
        }
        let mut report = report_of(&mut site, self.1);
        report["addr"] = site.addresses[self.1].clone().into();
        send(res, if is_valid { 200 } else { 409 }, &report);
    }
}
