//! Capacity beyond the owners' latest reports: machines that are being scaled out, and requests
//! that lacked capacity in earlier reports.

use crate::clock::Micros;
use crate::cloud::ScaleOutRecord;
use crate::fairness::Resources;
use crate::ids::PartitionId;
use crate::placement::CapacityRequest;
use std::collections::BTreeMap;

/// Time for which requested machines count as pending while the cloud has not replied.
const REQUESTED_TIMEOUT: Micros = Micros::from_millis(8_000);

/// Time for which machines count as pending after the cloud has confirmed them. After this time,
/// the owner's reports include them.
const CONFIRMED_TIMEOUT: Micros = Micros::from_millis(3_000);

/// Time for which a request that lacked capacity is remembered after it was last reported.
const RECENT_REQUEST_TIMEOUT: Micros = Micros::from_millis(180_000);

#[derive(Debug)]
struct ExpectedMachines {
    record: ScaleOutRecord,
    expires_at: Micros,
    /// Capacity of each machine.
    capacity: Resources,
}

/// A machine that is being scaled out, and the capacity on it that no request has used yet.
#[derive(Debug)]
pub(super) struct PendingMachine {
    machine_type: String,
    zone: String,
    spot: bool,
    free: Resources,
}

impl PendingMachine {
    /// Creates a machine of a scale-out with this free capacity.
    pub(super) fn new(record: &ScaleOutRecord, free: Resources) -> Self {
        PendingMachine {
            machine_type: record.machine_type.clone(),
            zone: record.zone.clone(),
            spot: record.spot,
            free,
        }
    }

    /// Takes capacity for up to `tasks` tasks of a request. Returns the number of tasks that it
    /// has capacity for. A request that needs a machine is served only if its tasks may use this
    /// one. Any other request has machines that suit it, and the work that leaves them for this
    /// one frees them.
    pub(super) fn serve(&mut self, request: &CapacityRequest, tasks: u32) -> u32 {
        if request.needs_machine
            && !request.fits(&self.machine_type, &self.zone, self.spot, &self.free)
        {
            return 0;
        }
        let served = request.request.times_in(&self.free).min(tasks);
        self.free -= request.request.scale(f64::from(served));
        served
    }
}

/// Capacity that the owners' reports do not include yet, by the name of the scale-out that
/// provides it.
#[derive(Default)]
pub(super) struct PendingCapacity {
    by_scale_out: BTreeMap<String, ExpectedMachines>,
}

impl PendingCapacity {
    /// Adds the machines of a scale-out, each of this capacity, requested at `now` under `name`.
    pub(super) fn add(
        &mut self,
        now: Micros,
        name: String,
        record: ScaleOutRecord,
        capacity: Resources,
    ) {
        let expected = ExpectedMachines {
            record,
            expires_at: now + REQUESTED_TIMEOUT,
            capacity,
        };
        self.by_scale_out.insert(name, expected);
    }

    /// Records that the cloud has confirmed `count` machines of a scale-out.
    pub(super) fn confirm(&mut self, now: Micros, name: &str, count: u32) {
        if let Some(expected) = self.by_scale_out.get_mut(name) {
            expected.record.count = count;
            expected.expires_at = now + CONFIRMED_TIMEOUT;
        }
    }

    /// Removes the machines of a scale-out that the cloud refused.
    pub(super) fn cancel(&mut self, name: &str) {
        self.by_scale_out.remove(name);
    }

    /// Removes the machines that the owners' reports include by now, or that the cloud has not
    /// confirmed in time.
    pub(super) fn expire(&mut self, now: Micros) {
        self.by_scale_out
            .retain(|_, expected| expected.expires_at > now);
    }

    /// Returns the pending machines of a partition, all of whose capacity is free.
    pub(super) fn of_partition(&self, partition: PartitionId) -> Vec<PendingMachine> {
        let expected = self.by_scale_out.values();
        expected
            .filter(|expected| expected.record.partition == partition)
            .flat_map(|expected| {
                let machine = || PendingMachine::new(&expected.record, expected.capacity);
                std::iter::repeat_with(machine).take(expected.record.count as usize)
            })
            .collect()
    }
}

struct RecentRequest {
    request: Resources,
    last_reported_at: Micros,
}

/// Resources per task of the requests that lacked capacity within `RECENT_REQUEST_TIMEOUT`.
#[derive(Default)]
pub(super) struct RecentRequests(Vec<RecentRequest>);

impl RecentRequests {
    /// Removes the requests that have not been reported within their timeout.
    pub(super) fn expire(&mut self, now: Micros) {
        self.0
            .retain(|recent| now.since(recent.last_reported_at) < RECENT_REQUEST_TIMEOUT);
    }

    /// Records a request that lacks capacity at `now`.
    pub(super) fn note(&mut self, now: Micros, request: Resources) {
        match self.0.iter_mut().find(|recent| recent.request == request) {
            Some(recent) => recent.last_reported_at = now,
            None => self.0.push(RecentRequest {
                request,
                last_reported_at: now,
            }),
        }
    }

    /// Returns whether a task of any of the requests fits in `larger` but not in `smaller`.
    pub(super) fn any_needs(&self, larger: &Resources, smaller: &Resources) -> bool {
        self.0
            .iter()
            .any(|recent| !recent.request.fits_in(smaller) && recent.request.fits_in(larger))
    }
}
