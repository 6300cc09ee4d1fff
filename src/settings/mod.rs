//! The platform's settings file: read, checked, and refused with one clear line.

pub mod sockets;

use crate::clock::Micros;
use crate::fairness::Resources;
use crate::ids::{Label, ZoneId};
use serde::Deserialize;
use std::net::SocketAddrV4;
use std::path::Path;

/// Why a settings file is refused.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// It can't be read.
    #[error("can't read settings file {path}: {why}")]
    Unreadable {
        /// The file.
        path: String,
        /// Why.
        why: std::io::Error,
    },
    /// It is not JSON, or a field is missing or of the wrong type.
    #[error("settings file {path} is malformed: {why}")]
    Malformed {
        /// The file.
        path: String,
        /// Why.
        why: serde_json::Error,
    },
    /// It contradicts itself, or leaves too little to work with.
    #[error("settings file {path}: {why}")]
    Contradictory {
        /// The file.
        path: String,
        /// Why.
        why: String,
    },
}

/// Another controller.
#[derive(Debug, Clone, Deserialize)]
pub struct Seed {
    /// The controller's label.
    pub label: Label,
    /// The zone that it is in.
    #[serde(default, rename = "area")]
    pub zone: Option<ZoneId>,
    /// Where it listens for its peers.
    pub addr: SocketAddrV4,
}

/// Addresses of the platform's services.
#[derive(Debug, Clone, Deserialize)]
pub struct Endpoints {
    /// The cloud's interface.
    pub cloud: SocketAddrV4,
    /// The state service.
    pub state: SocketAddrV4,
}

/// A team, its guarantee and its limit.
#[derive(Debug, Clone, Deserialize)]
pub struct Team {
    /// The team's name.
    pub name: String,
    /// Cores guaranteed.
    #[serde(default)]
    pub cpus: f64,
    /// The most cores that it may use; 0: no limit.
    #[serde(default)]
    pub cpus_max: f64,
    /// Accelerators guaranteed.
    #[serde(default)]
    pub gpus: f64,
    /// The most accelerators that it may use; 0: no limit.
    #[serde(default)]
    pub gpus_max: f64,
}

impl Team {
    /// What is guaranteed to it. Memory is not.
    pub fn guarantee(&self) -> Resources {
        Resources::new(self.cpus, self.gpus, 0.0)
    }

    /// The limit on what its tasks use; memory is not limited. 0 is none: guarded by it
    /// a guest team without a guarantee was refused all that it submitted.
    pub fn limit(&self) -> Resources {
        let most = |max: f64| if max > 0.0 { max } else { f64::INFINITY };
        Resources::new(most(self.cpus_max), most(self.gpus_max), f64::INFINITY)
    }
}

/// The workers' times, in seconds.
#[derive(Debug, Clone, Deserialize)]
pub struct WorkerTimes {
    /// Between two reports.
    pub report_s: f64,
    /// After the last answered report, a worker ends all that it has.
    pub lease_s: f64,
    /// Within this a cancelled job's tasks must be gone.
    pub cancel_s: f64,
}

/// The limits of the state service.
#[derive(Debug, Clone, Deserialize)]
pub struct StateLimits {
    /// Requests in a second, of all controllers.
    pub rps: f64,
    /// Changes in a second, of all controllers.
    pub write_rps: f64,
    /// The size of a value, in KiB.
    pub value_kb: f64,
    /// Changes in one transaction.
    pub txn_ops: usize,
    /// The limits that will hold from some moment on, without notice.
    #[serde(default)]
    pub next: Option<NextStateLimits>,
}

/// The coming limits of the state service; what is not given stays as it is.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct NextStateLimits {
    /// Requests in a second, of all controllers.
    #[serde(default)]
    pub rps: Option<f64>,
    /// Changes in a second, of all controllers.
    #[serde(default)]
    pub write_rps: Option<f64>,
    /// The size of a value, in KiB.
    #[serde(default)]
    pub value_kb: Option<f64>,
    /// Changes in one transaction.
    #[serde(default)]
    pub txn_ops: Option<usize>,
}

impl StateLimits {
    fn next_or<T: Copy>(&self, of: impl Fn(&NextStateLimits) -> Option<T>, now: T) -> T {
        self.next.as_ref().and_then(of).unwrap_or(now)
    }

    /// Requests in a second that are allowed before and after the limits change.
    pub fn lowest_rps(&self) -> f64 {
        self.next_or(|n| n.rps, self.rps).min(self.rps)
    }

    /// Changes in a second that are allowed before and after the limits change.
    pub fn lowest_write_rps(&self) -> f64 {
        let next = self.next_or(|n| n.write_rps, self.write_rps);
        next.min(self.write_rps)
    }

    /// Changes in a transaction that are allowed before and after the limits change.
    pub fn lowest_txn_ops(&self) -> usize {
        self.next_or(|n| n.txn_ops, self.txn_ops).min(self.txn_ops)
    }

    /// What a value may hold before and after the limits change, in bytes.
    pub fn lowest_value_bytes(&self) -> usize {
        let next = self.next_or(|n| n.value_kb, self.value_kb);
        (next.min(self.value_kb) * 1024.0) as usize
    }
}

/// The limits of the cloud's interface.
#[derive(Debug, Clone, Deserialize)]
pub struct CloudLimits {
    /// Requests in a second.
    pub rps: f64,
    /// How far the list of machines lags, in seconds.
    pub list_lag_s: f64,
}

/// What this process may use.
#[derive(Debug, Clone, Deserialize)]
pub struct Limits {
    /// Sockets.
    pub sockets: usize,
    /// Memory, in MB.
    #[serde(default)]
    pub ram_mb: Option<f64>,
    /// The share of one core.
    #[serde(default)]
    pub cpu_share: Option<f64>,
}

/// What is expected of a class; kinds that are not known here are ignored.
#[derive(Debug, Clone, Deserialize)]
pub struct ServiceLevelObjective {
    /// What is counted.
    pub kind: String,
    /// The class of jobs that it is about.
    #[serde(default)]
    pub class: Option<String>,
    /// The time within which it should happen, in seconds.
    #[serde(default)]
    pub within_s: Option<f64>,
}

/// What the platform says of the deployment.
#[derive(Debug, Clone, Deserialize)]
pub struct Platform {
    /// How many controllers there are.
    pub initial_size: usize,
    /// The zones that machines may be in.
    #[serde(default)]
    pub zones: Vec<String>,
    /// The teams, each known by its place here.
    pub teams: Vec<Team>,
    /// What users expect.
    #[serde(default)]
    pub objectives: Vec<ServiceLevelObjective>,
    /// The workers' times.
    pub workers: WorkerTimes,
    /// The limits of the state service.
    pub state: StateLimits,
    /// The limits of the cloud's interface.
    pub cloud: CloudLimits,
    /// What this process may use.
    pub limits: Limits,
}

/// The platform's settings file.
#[derive(Debug, Clone, Deserialize)]
pub struct Settings {
    /// This controller's label.
    pub label: Label,
    /// Where users, workers and health checks come.
    pub bind: SocketAddrV4,
    /// Where the other controllers come.
    pub mesh_addr: SocketAddrV4,
    /// The other controllers.
    #[serde(default)]
    pub seeds: Vec<Seed>,
    /// The platform's services.
    pub endpoints: Endpoints,
    /// What the platform says of the deployment.
    #[serde(rename = "settings")]
    pub platform: Platform,
}

/// Two steady clocks may drift apart by 0.05%; twice that is allowed for.
const DRIFT: f64 = 0.001;
/// Beyond the drift: the store ends a lease up to 100 ms late, commands travel,
/// and a controller short of processor time may act late. Where the room is
/// small, this is a part of it.
const MARGIN_S: f64 = 3.0;
const MARGIN_PART: f64 = 0.25;
/// The design's starting length of a partition's lease.
const LEASE_S: f64 = 20.0;
/// Below this, renewals over a busy store can't keep a lease up.
const LEAST_LEASE_S: f64 = 2.0;
/// Transactions of fewer changes can't record what belongs together.
const LEAST_TXN_OPS: usize = 4;
/// Values below this hold no job's description with its record.
const LEAST_VALUE_BYTES: usize = 1024;
/// What each team's name takes in a partition's record besides the name, and the rest of that
/// record.
const TEAM_BYTES: usize = 3;
const HOLDER_BYTES: usize = 256;

impl Settings {
    /// Reads and checks a file.
    pub fn load(path: &Path) -> Result<Settings, SettingsError> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).map_err(|why| SettingsError::Unreadable {
            path: name.clone(),
            why,
        })?;
        let settings: Settings =
            serde_json::from_str(&text).map_err(|why| SettingsError::Malformed {
                path: name.clone(),
                why,
            })?;
        settings
            .check()
            .map_err(|why| SettingsError::Contradictory { path: name, why })?;
        Ok(settings)
    }

    /// Says in one line what contradicts itself or can't work.
    pub fn check(&self) -> Result<(), String> {
        let p = &self.platform;
        let fail = |why: String| Err(why);
        if self.label.as_str().is_empty() || self.label.as_str().contains([' ', '/']) {
            return fail("label is empty, or has a space or a slash".into());
        }
        if self.bind == self.mesh_addr {
            return fail("bind and mesh_addr are the same".into());
        }
        if self.seeds.iter().any(|s| s.label == self.label) {
            return fail(format!("seeds name this controller itself, {}", self.label));
        }
        if p.initial_size == 0 || p.initial_size > 1000 {
            return fail("initial_size must be from 1 to 1000".into());
        }
        if p.teams.is_empty() {
            return fail("teams is empty".into());
        }
        for (i, t) in p.teams.iter().enumerate() {
            let amounts = [t.cpus, t.cpus_max, t.gpus, t.gpus_max];
            if amounts.iter().any(|a| !a.is_finite() || *a < 0.0) {
                return fail(format!(
                    "team {}: amounts must be finite and not negative",
                    t.name
                ));
            }
            if !t.guarantee().fits_in(&t.limit()) {
                return fail(format!(
                    "team {}: more is guaranteed than its limit allows",
                    t.name
                ));
            }
            if p.teams[..i].iter().any(|o| o.name == t.name) {
                return fail(format!("team {} is listed twice", t.name));
            }
        }
        let positive = [
            ("workers.report_s", p.workers.report_s),
            ("workers.lease_s", p.workers.lease_s),
            ("workers.cancel_s", p.workers.cancel_s),
            ("state.rps", p.state.rps),
            ("state.write_rps", p.state.write_rps),
            ("state.value_kb", p.state.value_kb),
            ("state.next.rps", p.state.lowest_rps()),
            ("state.next.write_rps", p.state.lowest_write_rps()),
            ("cloud.rps", p.cloud.rps),
            ("cloud.list_lag_s", p.cloud.list_lag_s),
        ];
        let limits = [
            ("limits.ram_mb", p.limits.ram_mb),
            ("limits.cpu_share", p.limits.cpu_share),
        ];
        let given = limits.into_iter().filter_map(|(n, v)| Some((n, v?)));
        for (name, value) in positive.into_iter().chain(given) {
            if !value.is_finite() || value <= 0.0 {
                return fail(format!("{name} must be above 0"));
            }
        }
        if p.state.txn_ops < LEAST_TXN_OPS {
            return fail(format!("state.txn_ops must be at least {LEAST_TXN_OPS}"));
        }
        self.check_next_limits()?;
        self.sockets()?;
        // A cancelled task on a machine that is cut off ends only after both the
        // owner's and the worker's lease have run out.
        let room = p.workers.cancel_s - p.workers.lease_s;
        if self.raw_lease_s() < LEAST_LEASE_S {
            return fail(format!(
                "workers.cancel_s leaves {room} s beyond workers.lease_s, which is no room for a lease \
                 of {LEAST_LEASE_S} s"
            ));
        }
        Ok(())
    }

    /// Whether the coming limits of the state service leave room to work. Checked before
    /// the start: what can't be written then would be found out when it is too late.
    fn check_next_limits(&self) -> Result<(), String> {
        let p = &self.platform;
        if p.state.next.is_none() {
            return Ok(());
        }
        if p.state.lowest_txn_ops() < LEAST_TXN_OPS {
            return Err(format!(
                "state.next.txn_ops must be at least {LEAST_TXN_OPS}"
            ));
        }
        let most = p.state.lowest_value_bytes();
        let names = p.teams.iter().map(|t| t.name.len() + TEAM_BYTES);
        let least = LEAST_VALUE_BYTES.max(HOLDER_BYTES + names.sum::<usize>());
        if most < least {
            return Err(format!(
                "state.next.value_kb leaves {most} bytes for a value, and {least} are needed"
            ));
        }
        Ok(())
    }

    /// The controllers of the deployment, this one included.
    pub fn controllers(&self) -> impl Iterator<Item = &Label> {
        std::iter::once(&self.label).chain(self.seeds.iter().map(|s| &s.label))
    }

    fn raw_lease_s(&self) -> f64 {
        let w = &self.platform.workers;
        let room = w.cancel_s - w.lease_s * (1.0 + DRIFT);
        LEASE_S.min(room - MARGIN_S.min(room * MARGIN_PART))
    }

    /// What a controller asks of the state service for its member lease.
    pub fn lease(&self) -> Micros {
        Micros::from_secs(self.raw_lease_s())
    }

    /// How long after it sent a renewal a controller may still act.
    pub fn lease_validity(&self) -> Micros {
        let lease = self.raw_lease_s();
        Micros::from_secs(lease * (1.0 - DRIFT) - (lease * 0.15).min(1.0))
    }

    /// After this time without an answer, a worker has surely ended its tasks.
    pub fn worker_lease_timeout(&self) -> Micros {
        Micros::from_secs(self.platform.workers.lease_s * (1.0 + DRIFT) + 1.0)
    }

    /// How many changes a transaction of ours has at most: one that takes much of a
    /// second's changes is refused again and again while others write.
    pub fn max_mutations(&self) -> usize {
        let state = &self.platform.state;
        let part = (state.lowest_write_rps() / 4.0) as usize;
        state.lowest_txn_ops().min(part.max(LEAST_TXN_OPS))
    }

    /// Within what time tasks of a class should start, if an objective says so.
    pub fn start_latency_objective(&self, class: &str) -> Option<Micros> {
        let of_class =
            |o: &&ServiceLevelObjective| o.kind == "wait" && o.class.as_deref() == Some(class);
        let waits = self.platform.objectives.iter().filter(of_class);
        let least = waits.filter_map(|o| o.within_s).reduce(f64::min)?;
        Some(Micros::from_secs(least))
    }

    /// The classes of jobs that objectives name.
    pub fn classes_with_objectives(&self) -> Vec<String> {
        let objectives = self.platform.objectives.iter();
        objectives.filter_map(|o| o.class.clone()).collect()
    }

    /// A team's place by its name.
    pub fn team(&self, name: &str) -> Option<usize> {
        self.platform.teams.iter().position(|t| t.name == name)
    }

    /// All guarantees together.
    pub fn guarantees(&self) -> Resources {
        let mut all = Resources::default();
        for t in &self.platform.teams {
            all += t.guarantee();
        }
        all
    }
}

#[cfg(test)]
pub(crate) mod tests;
