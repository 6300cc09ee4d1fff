//! The lengths of leases, from the workers' timeouts. Both leases of a chain, the owner's and
//! the worker's, have to expire within the cancellation timeout.

use super::Settings;
use crate::clock::Micros;

/// Two steady clocks may drift apart by 0.05%; twice that is allowed for.
const MAX_CLOCK_DRIFT: f64 = 0.001;
/// Beyond the drift: the store ends a lease up to 100 ms late, commands travel, and a
/// controller short of processor time may act late. In seconds; where the cancellation
/// timeout leaves little room, `MAX_MARGIN_FRACTION` of that.
const LEASE_MARGIN_S: f64 = 3.0;
const MAX_MARGIN_FRACTION: f64 = 0.25;
/// The longest lease of a controller, in seconds.
const MAX_LEASE_S: f64 = 20.0;
/// A controller stops acting so much before its lease expires: this fraction of it, and at
/// most `MAX_VALIDITY_MARGIN_S` seconds.
const VALIDITY_MARGIN_FRACTION: f64 = 0.15;
const MAX_VALIDITY_MARGIN_S: f64 = 1.0;
/// What a worker may take beyond its lease to end its attempts, in seconds.
const WORKER_END_MARGIN_S: f64 = 1.0;

impl Settings {
    /// The length of a controller's lease, in seconds, however short.
    pub(super) fn lease_s(&self) -> f64 {
        let workers = &self.platform.workers;
        let room_s = workers.cancellation_timeout_s - workers.lease_s * (1.0 + MAX_CLOCK_DRIFT);
        MAX_LEASE_S.min(room_s - LEASE_MARGIN_S.min(room_s * MAX_MARGIN_FRACTION))
    }

    /// The length of the member lease that a controller requests from the store.
    pub fn lease(&self) -> Micros {
        Micros::from_secs(self.lease_s())
    }

    /// How long after it sent a renewal a controller may still act.
    pub fn lease_validity(&self) -> Micros {
        let lease_s = self.lease_s();
        let margin_s = (lease_s * VALIDITY_MARGIN_FRACTION).min(MAX_VALIDITY_MARGIN_S);
        Micros::from_secs(lease_s * (1.0 - MAX_CLOCK_DRIFT) - margin_s)
    }

    /// After this time without an answer, a worker has surely ended its tasks.
    pub fn worker_lease_timeout(&self) -> Micros {
        let lease_s = self.platform.workers.lease_s;
        Micros::from_secs(lease_s * (1.0 + MAX_CLOCK_DRIFT) + WORKER_END_MARGIN_S)
    }
}
