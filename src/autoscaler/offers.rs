//! Choice of the cheapest offer for a capacity request, and backoff from offers that the cloud
//! refused. An offer is a machine type in a zone, as spot or on-demand instances; being spot or
//! on-demand is called its kind.

use super::FleetSnapshot;
use super::scale_outs::ScaleOuts;
use crate::clock::Micros;
use crate::cloud::{MachineType, ScaleOutRecord};
use crate::placement::CapacityRequest;
use crate::watch_cache::WatchCache;
use std::collections::BTreeMap;
use zone_failover::leader::ScaleOutAccess;

/// Factor on the compared price of a large machine while tasks that need one lack capacity. It is
/// scaled out for small tasks only if it is more than this many times cheaper per task.
const SCARCITY_FACTOR: f64 = 1.5;

/// Surcharge on the compared price in a zone that has all machines of a type and kind, as a
/// fraction of the price. It is proportional to the zone's share of the machines and not to their
/// number: a surcharge by number made spot instances look more expensive than on-demand ones in
/// large fleets.
const CONCENTRATION_SURCHARGE: f64 = 0.3;

/// Minimum number of machines of a type and kind that the concentration is computed with. If
/// there are fewer, this number is used in their place.
const MIN_MACHINES_FOR_CONCENTRATION: usize = 30;

/// Time for which an offer is not used after it provided fewer machines than requested.
const EXHAUSTED_BACKOFF: Micros = Micros::from_millis(15_000);

/// Base of the exponential backoff after refusals, in milliseconds. It is doubled once for each
/// refusal, the first one included.
const REFUSAL_BACKOFF_MS: u64 = 5_000;

/// Maximum number of times that the backoff is doubled.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;

/// Zone name under which [`MachineCounts`] counts the machines of all zones.
const ALL_ZONES: &str = "";

/// Identifies an offer: a machine type in a zone, as spot or on-demand instances. The cloud may
/// have capacity for one offer and none for another.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct OfferKey {
    machine_type: String,
    zone: String,
    spot: bool,
}

impl From<&ScaleOutRecord> for OfferKey {
    fn from(record: &ScaleOutRecord) -> Self {
        OfferKey {
            machine_type: record.machine_type.clone(),
            zone: record.zone.clone(),
            spot: record.spot,
        }
    }
}

#[derive(Debug, Default)]
struct Backoff {
    until: Micros,
    refusals: u32,
}

/// Offers that are not used for a time because the cloud had too few machines.
#[derive(Default)]
pub(super) struct OfferBackoff(BTreeMap<OfferKey, Backoff>);

impl OfferBackoff {
    fn allows(&self, now: Micros, offer: &OfferKey) -> bool {
        let backoff = self.0.get(offer);
        backoff.is_none_or(|backoff| now >= backoff.until)
    }

    /// Records that an offer provided fewer machines than requested and has no more for now.
    pub(super) fn note_exhausted(&mut self, now: Micros, offer: OfferKey) {
        let backoff = Backoff {
            until: now + EXHAUSTED_BACKOFF,
            refusals: 1,
        };
        self.0.insert(offer, backoff);
    }

    /// Records that the cloud refused an offer. The backoff grows exponentially.
    pub(super) fn note_refusal(&mut self, now: Micros, offer: OfferKey) {
        let backoff = self.0.entry(offer).or_default();
        backoff.refusals += 1;
        let doublings = backoff.refusals.min(MAX_BACKOFF_DOUBLINGS);
        backoff.until = now + Micros::from_millis(REFUSAL_BACKOFF_MS << doublings);
    }

    /// Ends the backoff of an offer that provided all requested machines.
    pub(super) fn clear(&mut self, offer: &OfferKey) {
        self.0.remove(offer);
    }
}

/// An offer with its machine type.
#[derive(Clone, Copy)]
pub(super) struct Offer<'a> {
    pub(super) machine_type: &'a MachineType,
    pub(super) zone: &'a str,
    pub(super) spot: bool,
}

impl Offer<'_> {
    fn matches(&self, record: &ScaleOutRecord) -> bool {
        record.machine_type == self.machine_type.name
            && record.zone == self.zone
            && record.spot == self.spot
    }

    fn key(&self) -> OfferKey {
        OfferKey {
            machine_type: self.machine_type.name.clone(),
            zone: self.zone.into(),
            spot: self.spot,
        }
    }

    fn hourly_price(&self) -> f64 {
        if self.spot {
            self.machine_type.spot_price
        } else {
            self.machine_type.price
        }
    }
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct CountKey<'a> {
    machine_type: &'a str,
    zone: &'a str,
    spot: bool,
}

/// Number of recorded machines of each type, zone and kind.
pub(super) struct MachineCounts<'a>(BTreeMap<CountKey<'a>, usize>);

impl<'a> MachineCounts<'a> {
    /// Counts the machines recorded in the cache.
    pub(super) fn new(cache: &'a WatchCache) -> Self {
        let mut counts: BTreeMap<CountKey<'a>, usize> = BTreeMap::new();
        for (_, _, machine) in cache.all_machines() {
            for zone in [machine.zone.as_str(), ALL_ZONES] {
                let key = CountKey {
                    machine_type: &machine.machine_type,
                    zone,
                    spot: machine.spot,
                };
                *counts.entry(key).or_default() += 1;
            }
        }
        MachineCounts(counts)
    }

    fn count_in(&self, offer: &Offer<'_>, zone: &str) -> usize {
        let key = CountKey {
            machine_type: &offer.machine_type.name,
            zone,
            spot: offer.spot,
        };
        self.0.get(&key).copied().unwrap_or(0)
    }

    /// Returns the fraction of the machines of an offer's type and kind that are in its zone.
    fn concentration(&self, offer: &Offer<'_>) -> f64 {
        let all = self
            .count_in(offer, ALL_ZONES)
            .max(MIN_MACHINES_FOR_CONCENTRATION);
        self.count_in(offer, offer.zone) as f64 / all as f64
    }
}

/// Inputs for the comparison of offers in one step.
#[derive(Clone, Copy)]
pub(super) struct OfferSearch<'a> {
    pub(super) now: Micros,
    pub(super) fleet: &'a FleetSnapshot<'a>,
    pub(super) counts: &'a MachineCounts<'a>,
}

impl ScaleOuts {
    /// Returns the offer with the lowest compared price per task among those that can be used now,
    /// or `None` if none can. At equal prices, the surcharge for concentration prefers the zone
    /// with the fewest machines, so that a single wave of losses does not take all machines.
    pub(super) fn cheapest_offer<'a>(
        &self,
        search: &OfferSearch<'a>,
        request: &CapacityRequest,
    ) -> Option<Offer<'a>> {
        let mut best: Option<(f64, Offer<'a>)> = None;
        for machine_type in search.fleet.machine_types {
            let tasks_per_machine = request.request.times_in(&machine_type.capacity());
            let zones = machine_type.zones.iter();
            for zone in zones.filter(|_| tasks_per_machine > 0) {
                if !self.may_scale_out_in(zone, search.fleet) {
                    continue;
                }
                for spot in [true, false] {
                    let offer = Offer {
                        machine_type,
                        zone,
                        spot,
                    };
                    if !self.is_usable(search.now, &offer, request) {
                        continue;
                    }
                    let price = self.price_per_task(search, &offer, request, tasks_per_machine);
                    if best.is_none_or(|(lowest, _)| price < lowest) {
                        best = Some((price, offer));
                    }
                }
            }
        }
        best.map(|(_, offer)| offer)
    }

    /// Returns whether machines may be scaled out in a zone. A zone that has to be probed for its
    /// health gets one scale-out at a time.
    fn may_scale_out_in(&self, zone: &str, fleet: &FleetSnapshot<'_>) -> bool {
        match (fleet.scale_out_access)(zone) {
            ScaleOutAccess::Open => true,
            ScaleOutAccess::Probe => !self.has_scale_out_in(zone),
            ScaleOutAccess::Closed => false,
        }
    }

    /// Returns whether an offer fits a request, is not in backoff, and is not used by a scale-out
    /// in progress.
    fn is_usable(&self, now: Micros, offer: &Offer<'_>, request: &CapacityRequest) -> bool {
        let Offer {
            machine_type,
            zone,
            spot,
        } = *offer;
        self.backoff.allows(now, &offer.key())
            && !self
                .records_in_progress()
                .any(|record| offer.matches(record))
            && request.fits(&machine_type.name, zone, spot, &machine_type.capacity())
    }

    /// Returns the price per hour and task by which offers are compared. It is the offer's price,
    /// raised if larger tasks lack machines of the type, and raised by the zone's concentration of
    /// machines of the type and kind.
    fn price_per_task(
        &self,
        search: &OfferSearch<'_>,
        offer: &Offer<'_>,
        request: &CapacityRequest,
        tasks_per_machine: u32,
    ) -> f64 {
        let concentration = search.counts.concentration(offer);
        let scarcity = if self.is_needed_by_larger_tasks(search.fleet, offer.machine_type, request)
        {
            SCARCITY_FACTOR
        } else {
            1.0
        };
        offer.hourly_price() / f64::from(tasks_per_machine)
            * scarcity
            * (1.0 + CONCENTRATION_SURCHARGE * concentration)
    }

    /// Returns whether any recent request fits on `machine_type`, but not on the smallest type that
    /// fits `request`. The cloud has a limited number of large machines, and small tasks can use
    /// other types.
    fn is_needed_by_larger_tasks(
        &self,
        fleet: &FleetSnapshot<'_>,
        machine_type: &MachineType,
        request: &CapacityRequest,
    ) -> bool {
        let types = fleet.machine_types.iter();
        let smallest = types
            .filter(|other| request.request.fits_in(&other.capacity()))
            .min_by(|one, other| one.cores.total_cmp(&other.cores));
        smallest.is_some_and(|smallest| {
            self.recent_requests
                .any_needs(&machine_type.capacity(), &smallest.capacity())
        })
    }
}
