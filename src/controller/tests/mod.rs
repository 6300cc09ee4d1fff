//! Cluster tests of the controllers.
//!
//! Most tests run the controllers' cores in a deterministic simulation ([`simulation`]). One test
//! runs whole controllers with real sockets on loopback ([`loopback`]). The tests are grouped into
//! modules by behaviour. In addition, [`fault_pairs`] combines random faults, [`worker_histories`]
//! draws random orders of events at workers, [`idle_cloud`] draws small loads on a cloud without
//! machines, and [`characterization`] detects any change of behaviour.

mod autoscaling;
mod cancellation;
mod characterization;
mod command_copies;
mod dependencies;
mod failing_jobs;
mod failover;
mod fault_pairs;
mod fencing;
mod formats;
mod heartbeats;
mod held_capacity;
mod idle_cloud;
mod isolation;
mod job_lifecycle;
mod leases;
mod left_waiting;
mod loopback;
mod partition_ownership;
mod process_pauses;
mod quotas;
mod restarts;
mod scale;
mod seeds;
mod simulation;
mod starvation;
mod store_limits;
mod store_outages;
mod worker_histories;
mod worker_restarts;
mod zone_failover;
