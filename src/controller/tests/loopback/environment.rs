//! The environment of the controllers: the state of the fake store, cloud and workers, shared by
//! the handlers of their HTTP servers.

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

/// A launch of a task on a machine.
#[derive(Debug, Clone, PartialEq)]
pub struct TaskStart {
    /// Time of the launch.
    pub at: Micros,
    /// Identifier of the task.
    pub task: String,
}

/// The state of the store, the cloud and the workers.
pub struct Environment {
    started_at: Instant,
    /// The key-value store.
    pub store: SimulatedKvStore,
    /// The workers of all machines.
    pub workers: Vec<SimulatedWorker>,
    /// Listen address of each worker, by index.
    pub addresses: Vec<String>,
    /// Machine types that the cloud offers.
    pub machine_types: Vec<MachineType>,
    worker_lease: Micros,
    /// Run time of each task. `None`: tasks do not exit by themselves.
    pub task_duration: Option<Micros>,
    /// Indices of isolated workers: no message from them or to them arrives, and their tasks keep
    /// running.
    pub isolated: BTreeSet<usize>,
    /// Indices of workers whose machines were released.
    pub released: BTreeSet<usize>,
    /// All launches, in order.
    pub starts: Vec<TaskStart>,
}

impl Environment {
    /// Creates an environment without machines.
    pub fn new(machine_types: Vec<MachineType>, worker_lease: Micros) -> Environment {
        Environment {
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

    /// Returns the time since the environment was created.
    pub fn now(&self) -> Micros {
        Micros(self.started_at.elapsed().as_micros() as u64)
    }

    /// Returns whether a worker is neither isolated nor released.
    pub fn is_connected(&self, worker: usize) -> bool {
        !self.isolated.contains(&worker) && !self.released.contains(&worker)
    }

    /// Advances a worker independently of any message: its lease expires and its tasks exit.
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

    /// Makes a worker execute commands, and records the launches.
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

    /// Returns the tasks that are running on more than one machine. Released machines do not
    /// count.
    pub fn duplicate_tasks(&self) -> Vec<String> {
        let mut seen = BTreeSet::new();
        self.live_workers()
            .flat_map(|worker| worker.running_tasks(""))
            .filter(|task| !seen.insert(*task))
            .map(str::to_owned)
            .collect()
    }

    /// Returns the number of running tasks.
    pub fn running_count(&self) -> usize {
        self.live_workers()
            .map(|worker| worker.running_tasks("").count())
            .sum()
    }

    /// Sends a request to the store and returns the reply.
    pub fn send_to_store(&mut self, request: Request) -> Reply {
        let now = self.now();
        self.store.handle_request(now, request)
    }
}

/// A handle to the environment that all HTTP handlers share.
#[derive(Clone)]
pub struct SharedEnvironment(Arc<Mutex<Environment>>);

impl SharedEnvironment {
    /// Creates a shared handle to an environment.
    pub fn new(environment: Environment) -> SharedEnvironment {
        SharedEnvironment(Arc::new(Mutex::new(environment)))
    }

    /// Locks the environment until the guard is dropped.
    pub fn lock(&self) -> MutexGuard<'_, Environment> {
        self.0.lock().expect("no holder of the lock panics")
    }
}

/// Starts an HTTP server on a unique address and returns the address.
pub async fn listen(router: Router) -> String {
    let address = super::unique_address();
    let acceptor = TcpListener::new(address.clone()).bind().await;
    tokio::spawn(Server::new(acceptor).serve(Service::new(router)));
    address
}

/// Returns a request's body as JSON, or null if it is not valid JSON.
pub async fn body(request: &mut prelude::Request) -> Value {
    let payload = request.payload().await;
    let bytes = payload.map(|bytes| bytes.to_vec()).unwrap_or_default();
    serde_json::from_slice(&bytes).unwrap_or_default()
}

/// Sets the status and a JSON body of a response.
pub fn respond(response: &mut Response, status: u16, body: &Value) {
    response.status_code(StatusCode::from_u16(status).expect("a valid status code"));
    let _ = response.write_body(body.to_string());
}
