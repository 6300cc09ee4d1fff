//! The part of the settings file that describes the deployment. Fields keep their names in
//! the file by `serde(rename)`.

use crate::fairness::Resources;
use serde::Deserialize;

const BYTES_PER_KIB: f64 = 1024.0;

/// A team, its guaranteed quota and its limit.
#[derive(Debug, Clone, Deserialize)]
pub struct Team {
    /// The team's name.
    pub name: String,
    /// Guaranteed cores.
    #[serde(default)]
    pub cpus: f64,
    /// The limit on its cores; 0: none.
    #[serde(default)]
    pub cpus_max: f64,
    /// Guaranteed accelerators.
    #[serde(default)]
    pub gpus: f64,
    /// The limit on its accelerators; 0: none.
    #[serde(default)]
    pub gpus_max: f64,
}

impl Team {
    /// Its guaranteed quota. Memory is not guaranteed.
    pub fn guarantee(&self) -> Resources {
        Resources::new(self.cpus, self.gpus, 0.0)
    }

    /// The limit on what its tasks use; memory is not limited. 0 is none: taken as a limit,
    /// a guest team without a guaranteed quota was refused all that it submitted.
    pub fn limit(&self) -> Resources {
        let limit = |max: f64| if max > 0.0 { max } else { f64::INFINITY };
        Resources::new(limit(self.cpus_max), limit(self.gpus_max), f64::INFINITY)
    }
}

/// The workers' intervals and timeouts, in seconds.
#[derive(Debug, Clone, Deserialize)]
pub struct WorkerTimes {
    /// Between two heartbeats.
    #[serde(rename = "report_s")]
    pub heartbeat_interval_s: f64,
    /// So long after its last answered heartbeat, a worker ends all its attempts.
    pub lease_s: f64,
    /// Within this all tasks of a cancelled job must have ended.
    #[serde(rename = "cancel_s")]
    pub cancellation_timeout_s: f64,
}

/// The limits of the key-value store.
#[derive(Debug, Clone, Deserialize)]
pub struct StateLimits {
    /// Requests per second, of all controllers.
    pub rps: f64,
    /// Mutations per second, of all controllers.
    pub write_rps: f64,
    /// The size of a value, in KiB.
    pub value_kb: f64,
    /// Mutations in one compare-and-swap.
    pub txn_ops: usize,
    /// The limits that will hold from some moment on, without notice.
    #[serde(default)]
    pub next: Option<NextStateLimits>,
}

/// The coming limits of the key-value store; what is not given stays as it is.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct NextStateLimits {
    /// Requests per second, of all controllers.
    #[serde(default)]
    pub rps: Option<f64>,
    /// Mutations per second, of all controllers.
    #[serde(default)]
    pub write_rps: Option<f64>,
    /// The size of a value, in KiB.
    #[serde(default)]
    pub value_kb: Option<f64>,
    /// Mutations in one compare-and-swap.
    #[serde(default)]
    pub txn_ops: Option<usize>,
}

impl StateLimits {
    /// The coming limit, or the current one if it stays.
    fn next_or<T: Copy>(&self, limit: impl Fn(&NextStateLimits) -> Option<T>, current: T) -> T {
        self.next.as_ref().and_then(limit).unwrap_or(current)
    }

    /// Requests per second that are allowed before and after the limits change.
    pub fn lowest_rps(&self) -> f64 {
        self.next_or(|next| next.rps, self.rps).min(self.rps)
    }

    /// Mutations per second that are allowed before and after the limits change.
    pub fn lowest_write_rps(&self) -> f64 {
        let next = self.next_or(|next| next.write_rps, self.write_rps);
        next.min(self.write_rps)
    }

    /// Mutations in a compare-and-swap that are allowed before and after the limits change.
    pub fn lowest_txn_ops(&self) -> usize {
        self.next_or(|next| next.txn_ops, self.txn_ops)
            .min(self.txn_ops)
    }

    /// What a value may hold before and after the limits change, in bytes.
    pub fn lowest_value_bytes(&self) -> usize {
        let next = self.next_or(|next| next.value_kb, self.value_kb);
        (next.min(self.value_kb) * BYTES_PER_KIB) as usize
    }
}

/// The limits of the cloud's interface.
#[derive(Debug, Clone, Deserialize)]
pub struct CloudLimits {
    /// Requests per second.
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

/// A service-level objective of a class; kinds that are not known here are ignored.
#[derive(Debug, Clone, Deserialize)]
pub struct ServiceLevelObjective {
    /// What is measured, e.g. `wait`: the time until a task starts.
    pub kind: String,
    /// The class of jobs that it applies to.
    #[serde(default)]
    pub class: Option<String>,
    /// The time within which it should happen, in seconds.
    #[serde(default)]
    pub within_s: Option<f64>,
}

/// The deployment: its teams, its objectives and its limits.
#[derive(Debug, Clone, Deserialize)]
pub struct Platform {
    /// How many controllers there are.
    pub initial_size: usize,
    /// The zones that machines may be in.
    #[serde(default)]
    pub zones: Vec<String>,
    /// The teams, each known by its index here.
    pub teams: Vec<Team>,
    /// The service-level objectives.
    #[serde(default)]
    pub objectives: Vec<ServiceLevelObjective>,
    /// The workers' intervals and timeouts.
    pub workers: WorkerTimes,
    /// The limits of the key-value store.
    pub state: StateLimits,
    /// The limits of the cloud's interface.
    pub cloud: CloudLimits,
    /// What this process may use.
    pub limits: Limits,
}
