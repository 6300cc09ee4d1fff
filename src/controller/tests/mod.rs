//! Whole clusters in small: the controllers' cores in a deterministic simulation, and with real
//! sockets on loopback. Each test names the failure that it guards against.

mod autoscaling;
mod cancellation;
mod characterization;
mod dependencies;
mod failing_jobs;
mod failover;
mod fault_pairs;
mod fencing;
mod formats;
mod heartbeats;
mod isolation;
mod job_lifecycle;
mod leases;
mod loopback;
mod partition_ownership;
mod process_pauses;
mod quotas;
mod restarts;
mod scale;
mod simulation;
mod starvation;
mod store_limits;
mod store_outages;
mod zone_failover;
