//! The part of the settings file that describes the deployment: teams, objectives, and the
//! limits of the services and of this process.
//!
//! Names in the file never change. A field with another name in Rust has a `serde(rename)`.

use crate::fairness::Resources;
use serde::Deserialize;

const BYTES_PER_KIB: f64 = 1024.0;

/// A team with its guaranteed quota and its limit.
#[derive(Debug, Clone, Deserialize)]
pub struct Team {
    /// Name of the team.
    pub name: String,
    /// Guaranteed number of cores.
    #[serde(default)]
    pub cpus: f64,
    /// Limit on the cores that the team uses; 0 means no limit.
    #[serde(default)]
    pub cpus_max: f64,
    /// Guaranteed number of accelerators.
    #[serde(default)]
    pub gpus: f64,
    /// Limit on the accelerators that the team uses; 0 means no limit.
    #[serde(default)]
    pub gpus_max: f64,
}

impl Team {
    /// Returns the team's guaranteed quota. Memory is not guaranteed.
    pub fn guarantee(&self) -> Resources {
        Resources::new(self.cpus, self.gpus, 0.0)
    }

    /// Returns the limit on the resources that the team's tasks use together. Memory is not
    /// limited. A limit of 0 means no limit: read as an actual limit, it made the scheduler
    /// refuse every job of a guest team without a guaranteed quota.
    pub fn limit(&self) -> Resources {
        let limit = |max: f64| if max > 0.0 { max } else { f64::INFINITY };
        Resources::new(limit(self.cpus_max), limit(self.gpus_max), f64::INFINITY)
    }
}

/// Intervals and timeouts of the workers, in seconds.
#[derive(Debug, Clone, Deserialize)]
pub struct WorkerTimes {
    /// Time between two heartbeats of a worker.
    #[serde(rename = "report_s")]
    pub heartbeat_interval_s: f64,
    /// Time after its last answered heartbeat at which a worker ends all its attempts.
    pub lease_s: f64,
    /// Time within which all tasks of a cancelled job must have ended.
    #[serde(rename = "cancel_s")]
    pub cancellation_timeout_s: f64,
}

/// Limits of the key-value store.
#[derive(Debug, Clone, Deserialize)]
pub struct StateLimits {
    /// Requests per second of all controllers together.
    pub rps: f64,
    /// Mutations per second of all controllers together.
    pub write_rps: f64,
    /// Largest size of a value, in KiB.
    pub value_kb: f64,
    /// Largest number of mutations in one compare-and-swap.
    pub txn_ops: usize,
    /// Upcoming limits. The store applies them at an unknown time and without notice; `None`
    /// means that no change is planned.
    #[serde(default)]
    pub next: Option<NextStateLimits>,
}

/// Upcoming limits of the key-value store. A limit that is `None` does not change.
#[derive(Debug, Clone, Default, Deserialize)]
pub struct NextStateLimits {
    /// Requests per second of all controllers together.
    #[serde(default)]
    pub rps: Option<f64>,
    /// Mutations per second of all controllers together.
    #[serde(default)]
    pub write_rps: Option<f64>,
    /// Largest size of a value, in KiB.
    #[serde(default)]
    pub value_kb: Option<f64>,
    /// Largest number of mutations in one compare-and-swap.
    #[serde(default)]
    pub txn_ops: Option<usize>,
}

impl StateLimits {
    /// Returns the upcoming limit, or the current one if it does not change.
    fn next_or<T: Copy>(&self, limit: impl Fn(&NextStateLimits) -> Option<T>, current: T) -> T {
        self.next.as_ref().and_then(limit).unwrap_or(current)
    }

    /// Returns the requests per second that are allowed both before and after the limits
    /// change.
    pub fn lowest_rps(&self) -> f64 {
        self.next_or(|next| next.rps, self.rps).min(self.rps)
    }

    /// Returns the mutations per second that are allowed both before and after the limits
    /// change.
    pub fn lowest_write_rps(&self) -> f64 {
        let next = self.next_or(|next| next.write_rps, self.write_rps);
        next.min(self.write_rps)
    }

    /// Returns the number of mutations in a compare-and-swap that is allowed both before and
    /// after the limits change.
    pub fn lowest_txn_ops(&self) -> usize {
        self.next_or(|next| next.txn_ops, self.txn_ops)
            .min(self.txn_ops)
    }

    /// Returns the size of a value, in bytes, that is allowed both before and after the limits
    /// change.
    pub fn lowest_value_bytes(&self) -> usize {
        let next = self.next_or(|next| next.value_kb, self.value_kb);
        (next.min(self.value_kb) * BYTES_PER_KIB) as usize
    }
}

/// Limits of the cloud's API.
#[derive(Debug, Clone, Deserialize)]
pub struct CloudLimits {
    /// Requests per second of all controllers together.
    pub rps: f64,
    /// Delay, in seconds, after which a change of a machine appears in the cloud's list of
    /// machines.
    pub list_lag_s: f64,
}

/// Limits on the resources of this process.
#[derive(Debug, Clone, Deserialize)]
pub struct Limits {
    /// Largest number of open sockets.
    pub sockets: usize,
    /// Memory, in MB; `None` means no limit.
    #[serde(default)]
    pub ram_mb: Option<f64>,
    /// Share of one core; `None` means a whole core.
    #[serde(default)]
    pub cpu_share: Option<f64>,
}

/// Service-level objective of a class of jobs. Objectives of an unknown kind are ignored.
#[derive(Debug, Clone, Deserialize)]
pub struct ServiceLevelObjective {
    /// Measured quantity, for example `wait` for the time until a task starts.
    pub kind: String,
    /// Class of jobs that the objective applies to; `None` if the file does not name one.
    #[serde(default)]
    pub class: Option<String>,
    /// Target time, in seconds; `None` if the objective has no target time.
    #[serde(default)]
    pub within_s: Option<f64>,
}

/// Description of the deployment: its teams, objectives and limits.
#[derive(Debug, Clone, Deserialize)]
pub struct Platform {
    /// Number of controllers.
    pub initial_size: usize,
    /// Names of the zones that machines may be in.
    #[serde(default)]
    pub zones: Vec<String>,
    /// Teams. Other modules identify a team by its index in this list.
    pub teams: Vec<Team>,
    /// Service-level objectives.
    #[serde(default)]
    pub objectives: Vec<ServiceLevelObjective>,
    /// Intervals and timeouts of the workers.
    pub workers: WorkerTimes,
    /// Limits of the key-value store.
    pub state: StateLimits,
    /// Limits of the cloud's API.
    pub cloud: CloudLimits,
    /// Limits on the resources of this process.
    pub limits: Limits,
}
