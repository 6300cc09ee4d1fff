//! The state behind all stand-ins that listen on loopback, shared by their handlers.

use crate::clock::Micros;
use crate::cloud::MachineType;
use crate::controller::tests::simulation::{ExitCause, SimulatedKvStore, SimulatedWorker};
use crate::store::{Reply, Request};
use crate::workers::WorkerCommand;
use salvo::conn::{Listener, TcpListener};
use salvo::http::StatusCode;
use salvo::prelude::{self, Response, Router, Server, Service};
use serde_json::Value;
use std::collections::BTreeSet;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

/// The start of a task on a machine.
#[derive(Debug, Clone, PartialEq)]
pub struct TaskStart {
    /// When it was launched.
    pub at: Micros,
    /// The task.
    pub task: String,
}

/// The state of the store, the cloud and the workers.
pub struct Site {
    started_at: Instant,
    /// The key-value store.
    pub store: SimulatedKvStore,
    /// The workers of all machines.
    pub workers: Vec<SimulatedWorker>,
    /// Where each worker listens.
    pub addresses: Vec<String>,
    /// The cloud's machine types.
    pub machine_types: Vec<MachineType>,
    worker_lease: Micros,
    /// How long tasks run; none: until the test sets it.
    pub task_duration: Option<Micros>,
    /// Machines that are cut off in both directions, with their tasks.
    pub isolated: BTreeSet<usize>,
    /// Machines that were released.
    pub released: BTreeSet<usize>,
    /// All starts, in their order.
    pub starts: Vec<TaskStart>,
}

impl Site {
    /// A site without machines.
    pub fn new(machine_types: Vec<MachineType>, worker_lease: Micros) -> Site {
        Site {
            started_at: Instant::now(),
            store: SimulatedKvStore::default(),
            workers: Vec::new(),
            addresses: Vec::new(),
            machine_types,
            worker_lease,
            task_duration: None,
            isolated: BTreeSet::new(),
            released: BTreeSet::new(),
            starts: Vec::new(),
        }
    }

    /// The time since the site was made.
    pub fn now(&self) -> Micros {
        Micros(self.started_at.elapsed().as_micros() as u64)
    }

    /// Whether a worker's messages arrive.
    pub fn is_connected(&self, worker: usize) -> bool {
        !self.isolated.contains(&worker) && !self.released.contains(&worker)
    }

    /// What happens on a machine by itself: its lease expires and its tasks exit.
    pub fn step_worker(&mut self, index: usize) {
        let (now, lease, duration) = (self.now(), self.worker_lease, self.task_duration);
        let worker = &mut self.workers[index];
        worker.expire_lease(now, lease);
        for (task, attempt) in &mut worker.tasks {
            if !attempt.is_running() {
                continue;
            }
            let started_at = *worker.started_at.entry(task.clone()).or_insert(now);
            if duration.is_some_and(|duration| now.since(started_at) >= duration) {
                attempt.exit(ExitCause::Done);
            }
        }
        let tasks = &worker.tasks;
        worker.started_at.retain(|task, _| tasks.contains_key(task));
    }

    /// A worker executes commands.
    pub fn execute(&mut self, index: usize, commands: &[WorkerCommand]) {
        let at = self.now();
        let worker = &mut self.workers[index];
        worker.execute(commands);
        let launches = std::mem::take(&mut worker.launches);
        self.starts
            .extend(launches.into_iter().map(|launch| TaskStart {
                at,
                task: launch.task,
            }));
    }

    fn live_workers(&self) -> impl Iterator<Item = &SimulatedWorker> {
        let workers = self.workers.iter().enumerate();
        workers
            .filter(|(index, _)| !self.released.contains(index))
            .map(|(_, worker)| worker)
    }

    /// Tasks that run on two machines now; a released machine runs nothing.
    pub fn duplicate_tasks(&self) -> Vec<String> {
        let mut seen = BTreeSet::new();
        self.live_workers()
            .flat_map(|worker| worker.running_tasks(""))
            .filter(|task| !seen.insert(*task))
            .map(str::to_owned)
            .collect()
    }

    /// All tasks that run now.
    pub fn running_count(&self) -> usize {
        self.live_workers()
            .map(|worker| worker.running_tasks("").count())
            .sum()
    }

    /// Answers a request to the store.
    pub fn send_to_store(&mut self, request: Request) -> Reply {
        let now = self.now();
        self.store.handle_request(now, request)
    }
}

/// The site, shared by all that listen.
#[derive(Clone)]
pub struct SharedSite(Arc<Mutex<Site>>);

impl SharedSite {
    /// Shares a site.
    pub fn new(site: Site) -> SharedSite {
        SharedSite(Arc::new(Mutex::new(site)))
    }

    /// The site, until the guard is dropped.
    pub fn lock(&self) -> MutexGuard<'_, Site> {
        self.0.lock().expect("no holder of the lock panics")
    }
}

/// Starts to listen on an address of its own, and returns it.
pub async fn listen(router: Router) -> String {
    let address = super::own_address();
    let acceptor = TcpListener::new(address.clone()).bind().await;
    tokio::spawn(Server::new(acceptor).serve(Service::new(router)));
    address
}

/// A request's body as JSON, or null.
pub async fn body(request: &mut prelude::Request) -> Value {
    let payload = request.payload().await;
    let bytes = payload.map(|bytes| bytes.to_vec()).unwrap_or_default();
    serde_json::from_slice(&bytes).unwrap_or_default()
}

/// Responds with JSON.
pub fn respond(response: &mut Response, status: u16, body: &Value) {
    response.status_code(StatusCode::from_u16(status).expect("a status"));
    let _ = response.write_body(body.to_string());
}
