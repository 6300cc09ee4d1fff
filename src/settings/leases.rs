//! Derives the lengths of leases from the workers' timeouts.
//!
//! Invariant: if an owner is cut off, first its own lease and then the lease of its workers
//! expires, and both together expire within the cancellation timeout.

use super::Settings;
use crate::clock::Micros;

/// Relative drift between two monotonic clocks that the leases allow for: twice the 0.05% by
/// which two clocks may drift apart.
const MAX_CLOCK_DRIFT: f64 = 0.001;
/// Part of the cancellation timeout, in seconds, that is reserved in addition to the leases and
/// the clock drift. The store may expire a lease up to 100 ms late, commands need time to
/// arrive, and a controller that is short of processor time may act late.
const LEASE_MARGIN_S: f64 = 3.0;
/// Upper bound of the margin for short cancellation timeouts, as a fraction of the time that
/// the cancellation timeout leaves after the worker's lease.
const MAX_MARGIN_FRACTION: f64 = 0.25;
/// Longest lease of a controller, in seconds.
const MAX_LEASE_S: f64 = 20.0;
/// Time before the expiry of its lease at which a controller stops acting, as a fraction of
/// the lease.
const VALIDITY_MARGIN_FRACTION: f64 = 0.15;
/// Upper bound, in seconds, of the time before the expiry of its lease at which a controller
/// stops acting.
const MAX_VALIDITY_MARGIN_S: f64 = 1.0;
/// Time, in seconds, that a worker may need after the expiry of its lease to end its attempts.
const WORKER_END_MARGIN_S: f64 = 1.0;

impl Settings {
    /// Returns the length of a controller's lease, in seconds. For settings that were not
    /// checked, the result may be too short for a lease, or negative.
    pub(super) fn lease_s(&self) -> f64 {
        let workers = &self.platform.workers;
        let room_s = workers.cancellation_timeout_s - workers.lease_s * (1.0 + MAX_CLOCK_DRIFT);
        MAX_LEASE_S.min(room_s - LEASE_MARGIN_S.min(room_s * MAX_MARGIN_FRACTION))
    }

    /// Returns the length of the member lease that a controller requests from the store.
    pub fn lease(&self) -> Micros {
        Micros::from_secs(self.lease_s())
    }

    /// Returns how long after sending a renewal of its lease a controller may still act.
    pub fn lease_validity(&self) -> Micros {
        let lease_s = self.lease_s();
        let margin_s = (lease_s * VALIDITY_MARGIN_FRACTION).min(MAX_VALIDITY_MARGIN_S);
        Micros::from_secs(lease_s * (1.0 - MAX_CLOCK_DRIFT) - margin_s)
    }

    /// Returns the time without an answered heartbeat after which a worker is guaranteed to have
    /// ended its tasks.
    pub fn worker_lease_timeout(&self) -> Micros {
        let lease_s = self.platform.workers.lease_s;
        Micros::from_secs(lease_s * (1.0 + MAX_CLOCK_DRIFT) + WORKER_END_MARGIN_S)
    }
}
