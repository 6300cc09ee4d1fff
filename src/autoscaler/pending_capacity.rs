//! What is known of capacity beside the owners' latest reports: machines that are under way, and
//! the requests that lacked room lately.

use crate::clock::Micros;
use crate::fairness::Resources;
use crate::ids::PartitionId;
use std::collections::BTreeMap;

/// How long requested machines count while the cloud has not replied.
const REQUESTED_TIMEOUT: Micros = Micros::from_millis(8_000);

/// How long machines that the cloud confirmed count, until the owner's reports show them.
const CONFIRMED_TIMEOUT: Micros = Micros::from_millis(3_000);

/// How long a request that lacked room is remembered.
const RECENT_REQUEST_TIMEOUT: Micros = Micros::from_millis(180_000);

#[derive(Debug)]
struct ExpectedMachines {
    partition: PartitionId,
    expires_at: Micros,
    /// Of each machine.
    capacity: Resources,
    count: u32,
}

/// Capacity that the owners' reports don't show yet, by the scale-out that brings it.
#[derive(Default)]
pub(super) struct PendingCapacity {
    by_scale_out: BTreeMap<String, ExpectedMachines>,
}

impl PendingCapacity {
    /// Counts `count` machines of this capacity for a partition from now on.
    pub(super) fn expect(
        &mut self,
        now: Micros,
        name: String,
        partition: PartitionId,
        capacity: Resources,
        count: u32,
    ) {
        let expected = ExpectedMachines {
            partition,
            expires_at: now + REQUESTED_TIMEOUT,
            capacity,
            count,
        };
        self.by_scale_out.insert(name, expected);
    }

    /// The cloud has confirmed so many of a scale-out's machines.
    pub(super) fn confirm(&mut self, now: Micros, name: &str, count: u32) {
        if let Some(expected) = self.by_scale_out.get_mut(name) {
            expected.count = count;
            expected.expires_at = now + CONFIRMED_TIMEOUT;
        }
    }

    /// Nothing comes of a scale-out.
    pub(super) fn cancel(&mut self, name: &str) {
        self.by_scale_out.remove(name);
    }

    /// Forgets what the reports must show by now.
    pub(super) fn expire(&mut self, now: Micros) {
        self.by_scale_out
            .retain(|_, expected| expected.expires_at > now);
    }

    /// The capacity of each machine that is under way for a partition.
    pub(super) fn of_partition(&self, partition: PartitionId) -> Vec<Resources> {
        self.by_scale_out
            .values()
            .filter(|expected| expected.partition == partition)
            .flat_map(|expected| std::iter::repeat_n(expected.capacity, expected.count as usize))
            .collect()
    }
}

struct RecentRequest {
    request: Resources,
    last_reported_at: Micros,
}

/// What tasks requested that lacked room lately.
#[derive(Default)]
pub(super) struct RecentRequests(Vec<RecentRequest>);

impl RecentRequests {
    /// Forgets what has not been reported for long.
    pub(super) fn expire(&mut self, now: Micros) {
        self.0
            .retain(|recent| now.since(recent.last_reported_at) < RECENT_REQUEST_TIMEOUT);
    }

    /// Remembers a request that lacks room now.
    pub(super) fn note(&mut self, now: Micros, request: Resources) {
        match self.0.iter_mut().find(|recent| recent.request == request) {
            Some(recent) => recent.last_reported_at = now,
            None => self.0.push(RecentRequest {
                request,
                last_reported_at: now,
            }),
        }
    }

    /// Whether one of them fits in `larger` but not in `smaller`.
    pub(super) fn any_needs(&self, larger: &Resources, smaller: &Resources) -> bool {
        self.0
            .iter()
            .any(|recent| !recent.request.fits_in(smaller) && recent.request.fits_in(larger))
    }
}
