//! Controllers with real sockets: a zone of listening workers is cut off and comes back.

mod stand_ins;

use crate::clock::Micros;
use crate::http_client::{ConnectionPool, HttpRequest};
use crate::jobs::tests::{body as job_body, types};
use crate::policy::Policy;
use crate::settings::Settings;
use crate::settings::tests::example;
use crate::store::keys;
use crate::subsystems::Subsystems;
use serde_json::{Value, json};
use stand_ins::{Shared, Site, Start};
use std::collections::BTreeSet;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

const FILE: &str = "[zone-failover]\nenabled = true\nevacuation-priority = 'rank_level'\n\
    [zone-failover.health]\nsuspect-after = \"500ms\"\nlost-after = \"1s\"\nreturn-after = \"500ms\"\n\
    probation = \"1s\"\npatience = \"5s\"\n\
    [zone-failover.waves]\nmachines = 1\ninterval = \"6s\"\n";

/// The whole test takes no longer.
const BOUND: Duration = Duration::from_secs(60);

fn settings(n: usize, ports: &[(String, String); 2], cloud: &str, state: &str) -> Settings {
    let mut v = example();
    v["label"] = format!("c{n}").into();
    (v["bind"], v["mesh_addr"]) = (ports[n].0.clone().into(), ports[n].1.clone().into());
    v["seeds"] = json!([{"label": format!("c{}", 1 - n), "area": "y", "addr": ports[1 - n].1}]);
    v["endpoints"] = json!({"cloud": cloud, "state": state});
    v["settings"]["zones"] = json!(["x", "y", "z"]);
    v["settings"]["workers"] = json!({"report_s": 0.5, "lease_s": 12.0, "cancel_s": 24.0});
    v["settings"]["limits"] = json!({"cpu_share": 1.0, "ram_mb": 500.0, "sockets": 1000});
    for team in v["settings"]["teams"].as_array_mut().expect("teams") {
        (team["cpus"], team["cpus_max"]) = (100.0.into(), 100.0.into());
    }
    serde_json::from_value(v).expect("settings")
}

/// An address that nobody else takes: each process has a loopback address of its own, and
/// connections go out from another one, so that no port of theirs is in the way.
fn own_address() -> String {
    static NEXT_PORT: AtomicU16 = AtomicU16::new(20_000);
    let process = std::process::id();
    let (a, b, c) = (
        1 + process / 62_500 % 200,
        process / 250 % 250,
        1 + process % 250,
    );
    let port = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
    format!("127.{a}.{b}.{c}:{port}")
}

/// A controller on a thread of its own, as a process would be.
fn start_controller(settings: Settings) {
    std::thread::spawn(move || {
        let policy = Policy::parse("silent_s = 6;", &settings).expect("a policy");
        let subsystems = Subsystems::parse(FILE, &settings).expect("a file");
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()
            .expect("a runtime");
        let local = tokio::task::LocalSet::new();
        let run = crate::controller::run(settings, policy, subsystems);
        runtime.block_on(local.run_until(run)).expect("it listens");
    });
}

struct Test {
    site: Shared,
    users: ConnectionPool,
    until: Instant,
}

impl Test {
    /// Waits until something holds, and looks all the time that no task runs twice.
    async fn wait(&self, what: &str, holds: impl Fn(&Site) -> bool) {
        loop {
            {
                let site = self.site.lock();
                assert_eq!(site.doubled(), Vec::<String>::new(), "on two machines");
                if holds(&site) {
                    return;
                }
                let zones = site.store.keys.get(keys::ZONES);
                assert!(Instant::now() < self.until, "{what}: {zones:?}");
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    async fn submit(&self, id: &str, rank: &str, tasks: u32) {
        let mut job = job_body();
        (job["id"], job["rank"], job["hands"]) = (id.into(), rank.into(), tasks.into());
        (job["dueS"], job["deck"]) = (Value::Null, "img".into());
        let second = Duration::from_secs(1);
        loop {
            assert!(Instant::now() < self.until, "{id} is not accepted");
            let request = HttpRequest::post("/v1/jobs".into(), job.clone());
            match self.users.send(&request, second).await {
                Ok((200 | 201, _)) => return,
                _ => tokio::time::sleep(second / 5).await,
            }
        }
    }

    async fn standing(&self, id: &str) -> String {
        let path = format!("/v1/jobs/{id}");
        let within = Duration::from_secs(2);
        let request = HttpRequest::get(path);
        let Ok((200, answer)) = self.users.send(&request, within).await else {
            return "unknown".into();
        };
        let answer: Value = serde_json::from_slice(&answer).expect("JSON");
        answer["standing"].as_str().unwrap_or_default().to_owned()
    }
}

fn state_of(site: &Site, zone: &str) -> String {
    let zones = site.store.keys.get(keys::ZONES);
    let state = zones.and_then(|r| r.1["zones"][zone]["state"].as_str());
    state.unwrap_or("healthy").to_owned()
}

async fn play() {
    let mut small = types();
    small.truncate(1);
    small[0].zones = ["x", "y", "z"].map(String::from).to_vec();
    let lease = Micros::from_millis(12_000);
    let site = Shared::new(Site::new(small, lease));
    let (state, cloud) = (site.serve_store().await, site.serve_cloud().await);
    let ports = [(); 2].map(|()| (own_address(), own_address()));
    for n in 0..2 {
        start_controller(settings(n, &ports, &cloud, &state));
    }
    let controllers: Vec<String> = ports.iter().map(|(bind, _)| bind.clone()).collect();
    for zone in ["y", "z", "x"].into_iter().flat_map(|zone| [zone; 4]) {
        site.add_worker(zone, controllers.clone()).await;
    }
    let test = Test {
        site: site.clone(),
        users: ConnectionPool::new(controllers[0].clone(), 4),
        until: Instant::now() + BOUND,
    };
    // Two tasks to a machine; there is room for all of it in two zones.
    test.submit("j-1", "idle", 8).await;
    test.submit("j-2", "high", 8).await;
    test.wait("all of it runs", |site| site.running() == 16)
        .await;
    // A machine that was never heard under the owner's token is no evidence of its zone.
    test.wait("each worker has its token, and has shown it", |site| {
        site.workers
            .iter()
            .all(|w| w.shown_token >= w.fencing_token && w.fencing_token.0 > 0)
    })
    .await;
    let in_x = |site: &Site| -> BTreeSet<String> {
        let there = (8..12).flat_map(|at| site.workers[at].running(""));
        there.map(str::to_owned).collect()
    };
    let displaced = in_x(&site.lock());
    assert!(!displaced.is_empty(), "some of it runs in x");
    let lost_at = site.lock().now();
    site.lock().cut.extend(8..12);
    test.wait("x is lost", |site| state_of(site, "x") == "lost")
        .await;
    // Back while machines of it still wait for their wave, with all that ran there.
    test.wait("the first wave", |site| !site.returned.is_empty())
        .await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let stale = in_x(&site.lock());
    site.lock().cut.clear();
    test.wait("x is healthy again", |site| {
        state_of(site, "x") == "healthy"
    })
    .await;
    test.wait("all of it runs again", |site| site.running() == 16)
        .await;
    let begun_again: Vec<Start> = {
        let site = site.lock();
        let again = site.starts.iter().filter(|s| s.at > lost_at);
        again.cloned().collect()
    };
    println!(
        "displaced {}, came back with {}, begun again {}",
        displaced.len(),
        stale.len(),
        begun_again.len()
    );
    check_order(&displaced, &begun_again);
    site.lock().task_time = Some(Micros::from_millis(500));
    for id in ["j-1", "j-2"] {
        test.wait("the end is stored", |site| {
            site.store.keys.contains_key(&keys::ended(&id.into()))
        })
        .await;
        assert_eq!(test.standing(id).await, "done");
        let ends = |site: &Site| {
            let key = keys::ended(&id.into());
            site.store
                .log
                .iter()
                .filter(|c| c.set.as_deref() == Some(key.as_str()))
                .count()
        };
        assert_eq!(ends(&site.lock()), 1, "{id} finished exactly once");
    }
    let left = test.until.saturating_duration_since(Instant::now());
    println!("it took {:?}", BOUND - left);
}

/// What was lost begins again in the stated order: the highest rank in the zone first.
fn check_order(displaced: &BTreeSet<String>, begun_again: &[Start]) {
    let is_high = |task: &str| task.starts_with("j-2/");
    let first = begun_again.first().expect("some of it was lost");
    let highest = displaced.iter().any(|task| is_high(task));
    assert_eq!(
        is_high(&first.task),
        highest,
        "{displaced:?} {begun_again:?}"
    );
}

#[test]
fn a_zone_of_listening_workers_is_cut_off_and_comes_back() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let local = tokio::task::LocalSet::new();
    runtime.block_on(local.run_until(play()));
}
