//! An end-to-end test of whole controllers with real sockets on loopback.
//!
//! The simulation passes messages by function calls, so it cannot show faults of the HTTP and mesh
//! connections. Here a zone of workers that listen on sockets is isolated, evacuated, and becomes
//! healthy again. No task may run on two machines, and each job must finish exactly once.

mod cloud;
mod environment;
mod store;
mod worker;

use super::simulation::ZONES;
use crate::clock::Micros;
use crate::http_client::{ConnectionPool, HttpRequest};
use crate::jobs::tests::{machine_types, submission_body};
use crate::policy::Policy;
use crate::settings::Settings;
use crate::settings::tests::example;
use crate::store::keys;
use crate::subsystems::Subsystems;
use environment::{Environment, SharedEnvironment, TaskStart};
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

/// Subsystems file of the controllers: zone failover with short time-outs.
const SUBSYSTEMS: &str = "[zone-failover]\nenabled = true\nevacuation-priority = 'rank_level'\n\
    [zone-failover.health]\nsuspect-after = \"500ms\"\nlost-after = \"1s\"\nreturn-after = \"500ms\"\n\
    probation = \"1s\"\npatience = \"5s\"\n\
    [zone-failover.waves]\nmachines = 1\ninterval = \"6s\"\n";

/// Maximum duration of the whole test.
const TIMEOUT: Duration = Duration::from_secs(60);
/// Interval at which a condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time that a user waits for the answer to a submission.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time that a user waits for the answer to a status query.
const QUERY_TIMEOUT: Duration = Duration::from_secs(2);
/// Time between two attempts to submit a job.
const SUBMIT_RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Time for which the zone stays isolated after the first evacuation wave.
const ISOLATION_AFTER_WAVE: Duration = Duration::from_millis(1_500);
/// Worker lease: the time without an answer after which a worker ends its tasks.
const WORKER_LEASE: Micros = Micros::from_millis(12_000);
/// Number of workers in each zone.
const WORKERS_PER_ZONE: usize = 4;
/// Indices of the workers in zone x, which are added last.
const WORKERS_IN_X: std::ops::Range<usize> = 2 * WORKERS_PER_ZONE..3 * WORKERS_PER_ZONE;
/// Total number of tasks of both jobs.
const TASKS: usize = 16;

/// Listen addresses of a controller.
struct ControllerAddresses {
    api: String,
    mesh: String,
}

impl ControllerAddresses {
    fn new() -> ControllerAddresses {
        ControllerAddresses {
            api: unique_address(),
            mesh: unique_address(),
        }
    }
}

fn settings(
    index: usize,
    addresses: &[ControllerAddresses; 2],
    cloud: &str,
    store: &str,
) -> Settings {
    let (own, peer) = (&addresses[index], &addresses[1 - index]);
    let mut settings = example();
    settings["label"] = format!("c{index}").into();
    settings["bind"] = own.api.clone().into();
    settings["mesh_addr"] = own.mesh.clone().into();
    settings["seeds"] =
        json!([{"label": format!("c{}", 1 - index), "area": "y", "addr": peer.mesh}]);
    settings["endpoints"] = json!({"cloud": cloud, "state": store});
    let platform = &mut settings["settings"];
    platform["zones"] = json!(ZONES);
    platform["workers"] = json!({"report_s": 0.5, "lease_s": 12.0, "cancel_s": 24.0});
    platform["limits"] = json!({"cpu_share": 1.0, "ram_mb": 500.0, "sockets": 1000});
    for team in platform["teams"].as_array_mut().expect("teams") {
        (team["cpus"], team["cpus_max"]) = (100.0.into(), 100.0.into());
    }
    serde_json::from_value(settings).expect("settings")
}

/// Returns an address that is used nowhere else.
///
/// Each test process listens on its own loopback IP address, derived from its process identifier.
/// Outgoing connections use a different loopback address, so their ports never collide with these.
fn unique_address() -> String {
    static NEXT_PORT: AtomicU16 = AtomicU16::new(20_000);
    let process = std::process::id();
    let (second, third, fourth) = (
        1 + process / 62_500 % 200,
        process / 250 % 250,
        1 + process % 250,
    );
    let port = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
    format!("127.{second}.{third}.{fourth}:{port}")
}

/// Starts a controller on its own thread, which stands for its process.
fn start_controller(settings: Settings) {
    std::thread::spawn(move || {
        let policy = Policy::parse("silent_s = 6;", &settings).expect("a valid policy");
        let subsystems = Subsystems::parse(SUBSYSTEMS, &settings).expect("a valid subsystems file");
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("a Tokio runtime");
        let local = tokio::task::LocalSet::new();
        let run = crate::controller::run(settings, policy, subsystems);
        runtime
            .block_on(local.run_until(run))
            .expect("the controller listens");
    });
}

/// The cluster under test, as its users see it.
struct Cluster {
    environment: SharedEnvironment,
    users: ConnectionPool,
    deadline: Instant,
}

impl Cluster {
    /// Starts two controllers and twelve workers. The workers of zone x are added last.
    async fn start() -> Cluster {
        let mut machine_types = machine_types();
        machine_types.truncate(1);
        machine_types[0].zones = ZONES.map(String::from).to_vec();
        let environment = SharedEnvironment::new(Environment::new(machine_types, WORKER_LEASE));
        let (store, cloud) = (
            store::serve(&environment).await,
            cloud::serve(&environment).await,
        );
        let addresses = [(); 2].map(|()| ControllerAddresses::new());
        for index in 0..2 {
            start_controller(settings(index, &addresses, &cloud, &store));
        }
        let controllers = addresses.map(|addresses| addresses.api).to_vec();
        for zone in ["y", "z", "x"] {
            for _ in 0..WORKERS_PER_ZONE {
                worker::add(&environment, zone, controllers.clone()).await;
            }
        }
        Cluster {
            environment,
            users: ConnectionPool::new(controllers[0].clone(), 4),
            deadline: Instant::now() + TIMEOUT,
        }
    }

    /// Waits until a condition holds, and checks meanwhile that no task runs on two machines.
    async fn wait(&self, description: &str, holds: impl Fn(&Environment) -> bool) {
        loop {
            {
                let environment = self.environment.lock();
                assert_eq!(
                    environment.duplicate_tasks(),
                    Vec::<String>::new(),
                    "tasks run on two machines"
                );
                if holds(&environment) {
                    return;
                }
                let zones = environment
                    .store
                    .keys
                    .get(keys::ZONES)
                    .map(|stored| &stored.value);
                assert!(
                    Instant::now() < self.deadline,
                    "time-out while waiting until {description}; zone records: {zones:?}"
                );
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    async fn submit(&self, id: &str, priority: &str, tasks: usize) {
        let mut job = submission_body();
        (job["id"], job["rank"], job["hands"]) = (id.into(), priority.into(), tasks.into());
        (job["dueS"], job["deck"]) = (Value::Null, "img".into());
        loop {
            assert!(
                Instant::now() < self.deadline,
                "no controller accepted {id} in time"
            );
            let request = HttpRequest::post("/v1/jobs".into(), job.clone());
            match self.users.send(&request, SUBMIT_TIMEOUT).await {
                Ok((200 | 201, _)) => return,
                _ => tokio::time::sleep(SUBMIT_RETRY_INTERVAL).await,
            }
        }
    }

    async fn job_state(&self, id: &str) -> String {
        let request = HttpRequest::get(format!("/v1/jobs/{id}"));
        let Ok((200, answer)) = self.users.send(&request, QUERY_TIMEOUT).await else {
            return "unknown".into();
        };
        let answer: Value = serde_json::from_slice(&answer).expect("JSON");
        answer["standing"].as_str().unwrap_or_default().to_owned()
    }

    /// Waits until all tasks run and each worker has sent the owner's fencing token.
    async fn wait_until_adopted(&self) {
        self.wait("all tasks run", |environment| {
            environment.running_count() == TASKS
        })
        .await;
        // The owner counts a machine as evidence of its zone's state only after a heartbeat with
        // the owner's token.
        self.wait(
            "each worker has sent the owner's fencing token",
            |environment| {
                environment.workers.iter().all(|worker| {
                    worker.last_sent_token >= worker.fencing_token && worker.fencing_token.0 > 0
                })
            },
        )
        .await;
    }

    /// Isolates zone x until after its first evacuation wave, reconnects it, and waits until all
    /// tasks run again. Returns the tasks that ran in x before the isolation.
    async fn isolate_zone(&self) -> BTreeSet<String> {
        let displaced = tasks_in_x(&self.environment.lock());
        assert!(
            !displaced.is_empty(),
            "no task runs in x before the isolation"
        );
        self.environment.lock().isolated.extend(WORKERS_IN_X);
        self.wait("x is lost", |environment| {
            zone_state(environment, "x") == "lost"
        })
        .await;
        // The zone is reconnected while some of its machines, with all their tasks, still wait for
        // their evacuation wave.
        self.wait(
            "the first evacuation wave releases a machine",
            |environment| !environment.released.is_empty(),
        )
        .await;
        tokio::time::sleep(ISOLATION_AFTER_WAVE).await;
        let stale = tasks_in_x(&self.environment.lock());
        self.environment.lock().isolated.clear();
        self.wait("x is healthy again", |environment| {
            zone_state(environment, "x") == "healthy"
        })
        .await;
        self.wait("all tasks run again", |environment| {
            environment.running_count() == TASKS
        })
        .await;
        println!(
            "displaced {}, still running in x {}",
            displaced.len(),
            stale.len()
        );
        displaced
    }

    /// Waits until a job's end is stored, and checks that it was stored exactly once.
    async fn check_end(&self, id: &str) {
        let key = keys::ended(&id.into());
        self.wait("the job's end is stored", |environment| {
            environment.store.keys.contains_key(&key)
        })
        .await;
        assert_eq!(self.job_state(id).await, "done");
        let ends = self.environment.lock().store.write_count(&key);
        assert_eq!(ends, 1, "{id} did not finish exactly once");
    }
}

fn zone_state(environment: &Environment, zone: &str) -> String {
    let stored = environment.store.keys.get(keys::ZONES);
    let state = stored.and_then(|stored| stored.value["zones"][zone]["state"].as_str());
    state.unwrap_or("healthy").to_owned()
}

fn tasks_in_x(environment: &Environment) -> BTreeSet<String> {
    environment.workers[WORKERS_IN_X]
        .iter()
        .flat_map(|worker| worker.running_tasks(""))
        .map(str::to_owned)
        .collect()
}

/// Checks that displaced tasks restart by evacuation priority: the first restarted task belongs to
/// the high-priority job if, and only if, that job had tasks in the zone.
fn check_order(displaced: &BTreeSet<String>, restarted: &[TaskStart]) {
    let is_high = |task: &str| task.starts_with("j-2/");
    let first = restarted.first().expect("some displaced tasks restarted");
    let has_high = displaced.iter().any(|task| is_high(task));
    assert_eq!(
        is_high(&first.task),
        has_high,
        "displaced {displaced:?}, restarted {restarted:?}"
    );
}

async fn run_scenario() {
    let cluster = Cluster::start().await;
    // Two tasks fit on a machine, so two zones have capacity for all tasks.
    cluster.submit("j-1", "idle", TASKS / 2).await;
    cluster.submit("j-2", "high", TASKS / 2).await;
    cluster.wait_until_adopted().await;
    let isolated_at = cluster.environment.lock().now();
    let displaced = cluster.isolate_zone().await;
    let restarted: Vec<TaskStart> = {
        let environment = cluster.environment.lock();
        let restarted = environment
            .starts
            .iter()
            .filter(|start| start.at > isolated_at);
        restarted.cloned().collect()
    };
    println!("restarted {}", restarted.len());
    check_order(&displaced, &restarted);
    cluster.environment.lock().task_duration = Some(Micros::from_millis(500));
    for id in ["j-1", "j-2"] {
        cluster.check_end(id).await;
    }
    let remaining = cluster.deadline.saturating_duration_since(Instant::now());
    println!("duration {:?}", TIMEOUT - remaining);
}

#[test]
fn isolated_zone_of_listening_workers_is_evacuated_and_becomes_healthy_again() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a Tokio runtime");
    let local = tokio::task::LocalSet::new();
    runtime.block_on(local.run_until(run_scenario()));
}
