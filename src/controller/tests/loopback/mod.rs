//! Controllers with real sockets: a zone of listening workers is isolated, evacuated, and
//! healthy again.

mod cloud;
mod site;
mod store;
mod worker;

use super::simulation::ZONES;
use crate::clock::Micros;
use crate::http_client::{ConnectionPool, HttpRequest};
use crate::jobs::tests::{body as job_body, types};
use crate::policy::Policy;
use crate::settings::Settings;
use crate::settings::tests::example;
use crate::store::keys;
use crate::subsystems::Subsystems;
use serde_json::{Value, json};
use site::{SharedSite, Site, TaskStart};
use std::collections::BTreeSet;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

const SUBSYSTEMS: &str = "[zone-failover]\nenabled = true\nevacuation-priority = 'rank_level'\n\
    [zone-failover.health]\nsuspect-after = \"500ms\"\nlost-after = \"1s\"\nreturn-after = \"500ms\"\n\
    probation = \"1s\"\npatience = \"5s\"\n\
    [zone-failover.waves]\nmachines = 1\ninterval = \"6s\"\n";

/// The whole test takes no longer.
const TIMEOUT: Duration = Duration::from_secs(60);
/// How often a condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// How long a user waits for the answer to a submission.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a user waits for the answer to a status query.
const QUERY_TIMEOUT: Duration = Duration::from_secs(2);
/// The time between two attempts to submit a job.
const SUBMIT_RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// How long the zone stays isolated after the first wave.
const ISOLATION_AFTER_WAVE: Duration = Duration::from_millis(1_500);
/// The lease of the workers.
const WORKER_LEASE: Micros = Micros::from_millis(12_000);
/// Workers in each zone.
const WORKERS_PER_ZONE: usize = 4;
/// The workers of zone x, which are added last.
const WORKERS_IN_X: std::ops::Range<usize> = 2 * WORKERS_PER_ZONE..3 * WORKERS_PER_ZONE;
/// Tasks of both jobs.
const TASKS: usize = 16;

/// Where a controller listens.
struct ControllerAddresses {
    api: String,
    mesh: String,
}

impl ControllerAddresses {
    fn new() -> ControllerAddresses {
        ControllerAddresses {
            api: own_address(),
            mesh: own_address(),
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

/// An address that nobody else takes: each process has a loopback address of its own, and
/// connections go out from another one, so that no port of theirs is in the way.
fn own_address() -> String {
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

/// A controller on a thread of its own, as a process would be.
fn start_controller(settings: Settings) {
    std::thread::spawn(move || {
        let policy = Policy::parse("silent_s = 6;", &settings).expect("a policy");
        let subsystems = Subsystems::parse(SUBSYSTEMS, &settings).expect("a file");
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("a runtime");
        let local = tokio::task::LocalSet::new();
        let run = crate::controller::run(settings, policy, subsystems);
        runtime.block_on(local.run_until(run)).expect("it listens");
    });
}

/// The user's side of the test.
struct Cluster {
    site: SharedSite,
    users: ConnectionPool,
    until: Instant,
}

impl Cluster {
    /// Two controllers and twelve workers, the ones of zone x last.
    async fn start() -> Cluster {
        let mut machine_types = types();
        machine_types.truncate(1);
        machine_types[0].zones = ZONES.map(String::from).to_vec();
        let site = SharedSite::new(Site::new(machine_types, WORKER_LEASE));
        let (store, cloud) = (store::serve(&site).await, cloud::serve(&site).await);
        let addresses = [(); 2].map(|()| ControllerAddresses::new());
        for index in 0..2 {
            start_controller(settings(index, &addresses, &cloud, &store));
        }
        let controllers = addresses.map(|addresses| addresses.api).to_vec();
        for zone in ["y", "z", "x"] {
            for _ in 0..WORKERS_PER_ZONE {
                worker::add(&site, zone, controllers.clone()).await;
            }
        }
        Cluster {
            site,
            users: ConnectionPool::new(controllers[0].clone(), 4),
            until: Instant::now() + TIMEOUT,
        }
    }

    /// Waits until something holds, and checks all the time that no task runs twice.
    async fn wait(&self, what: &str, holds: impl Fn(&Site) -> bool) {
        loop {
            {
                let site = self.site.lock();
                assert_eq!(
                    site.duplicate_tasks(),
                    Vec::<String>::new(),
                    "on two machines"
                );
                if holds(&site) {
                    return;
                }
                let zones = site.store.keys.get(keys::ZONES).map(|stored| &stored.value);
                assert!(Instant::now() < self.until, "{what}: {zones:?}");
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    async fn submit(&self, id: &str, priority: &str, tasks: usize) {
        let mut job = job_body();
        (job["id"], job["rank"], job["hands"]) = (id.into(), priority.into(), tasks.into());
        (job["dueS"], job["deck"]) = (Value::Null, "img".into());
        loop {
            assert!(Instant::now() < self.until, "{id} is not accepted");
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

    /// Waits until all tasks run and no worker is without the owner's token.
    async fn wait_until_adopted(&self) {
        self.wait("all tasks run", |site| site.running_count() == TASKS)
            .await;
        // A machine without a heartbeat under the owner's token is no evidence of its zone.
        self.wait("each worker has its token, and has sent it", |site| {
            site.workers.iter().all(|worker| {
                worker.last_sent_token >= worker.fencing_token && worker.fencing_token.0 > 0
            })
        })
        .await;
    }

    /// Isolates zone x until its first wave, and waits until all tasks run again. Returns the
    /// tasks that ran in x before.
    async fn isolate_zone(&self) -> BTreeSet<String> {
        let displaced = tasks_in_x(&self.site.lock());
        assert!(!displaced.is_empty(), "some tasks run in x");
        self.site.lock().isolated.extend(WORKERS_IN_X);
        self.wait("x is lost", |site| zone_state(site, "x") == "lost")
            .await;
        // It is connected while machines of it still wait for their wave, with all their tasks.
        self.wait("the first wave", |site| !site.released.is_empty())
            .await;
        tokio::time::sleep(ISOLATION_AFTER_WAVE).await;
        let stale = tasks_in_x(&self.site.lock());
        self.site.lock().isolated.clear();
        self.wait("x is healthy again", |site| {
            zone_state(site, "x") == "healthy"
        })
        .await;
        self.wait("all tasks run again", |site| site.running_count() == TASKS)
            .await;
        println!(
            "displaced {}, still running in x {}",
            displaced.len(),
            stale.len()
        );
        displaced
    }

    /// Waits until a job's end is stored, which must be once.
    async fn check_end(&self, id: &str) {
        let key = keys::ended(&id.into());
        self.wait("the end is stored", |site| {
            site.store.keys.contains_key(&key)
        })
        .await;
        assert_eq!(self.job_state(id).await, "done");
        let ends = self.site.lock().store.write_count(&key);
        assert_eq!(ends, 1, "{id} finished exactly once");
    }
}

fn zone_state(site: &Site, zone: &str) -> String {
    let stored = site.store.keys.get(keys::ZONES);
    let state = stored.and_then(|stored| stored.value["zones"][zone]["state"].as_str());
    state.unwrap_or("healthy").to_owned()
}

fn tasks_in_x(site: &Site) -> BTreeSet<String> {
    site.workers[WORKERS_IN_X]
        .iter()
        .flat_map(|worker| worker.running_tasks(""))
        .map(str::to_owned)
        .collect()
}

/// Displaced tasks start again by evacuation priority: the highest in the zone first.
fn check_order(displaced: &BTreeSet<String>, restarted: &[TaskStart]) {
    let is_high = |task: &str| task.starts_with("j-2/");
    let first = restarted.first().expect("some tasks were lost");
    let has_high = displaced.iter().any(|task| is_high(task));
    assert_eq!(
        is_high(&first.task),
        has_high,
        "{displaced:?} {restarted:?}"
    );
}

async fn play() {
    let cluster = Cluster::start().await;
    // Two tasks fit a machine; there is capacity for all of them in two zones.
    cluster.submit("j-1", "idle", TASKS / 2).await;
    cluster.submit("j-2", "high", TASKS / 2).await;
    cluster.wait_until_adopted().await;
    let isolated_at = cluster.site.lock().now();
    let displaced = cluster.isolate_zone().await;
    let restarted: Vec<TaskStart> = {
        let site = cluster.site.lock();
        let restarted = site.starts.iter().filter(|start| start.at > isolated_at);
        restarted.cloned().collect()
    };
    println!("started again {}", restarted.len());
    check_order(&displaced, &restarted);
    cluster.site.lock().task_duration = Some(Micros::from_millis(500));
    for id in ["j-1", "j-2"] {
        cluster.check_end(id).await;
    }
    let left = cluster.until.saturating_duration_since(Instant::now());
    println!("it took {:?}", TIMEOUT - left);
}

#[test]
fn isolated_zone_of_listening_workers_is_evacuated_and_becomes_healthy_again() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let local = tokio::task::LocalSet::new();
    runtime.block_on(local.run_until(play()));
}
