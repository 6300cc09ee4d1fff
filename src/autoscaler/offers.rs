//! What the cloud offers: which offers it refused lately, and which one is the cheapest.

use super::FleetSnapshot;
use super::scale_outs::ScaleOuts;
use crate::clock::Micros;
use crate::cloud::{MachineType, ScaleOutRecord};
use crate::placement::CapacityRequest;
use crate::watch_cache::WatchCache;
use std::collections::BTreeMap;
use zone_failover::leader::ScaleOutAccess;

/// A large machine must be this many times cheaper per task to be scaled out for small tasks,
/// while large ones lack room.
const SCARCITY_FACTOR: f64 = 1.5;

/// A zone that has all machines of a type and kind seems dearer by this share. By a share of
/// the machines, not their number: that once made spot instances seem dearer than ordinary
/// ones in large fleets.
const CONCENTRATION_SURCHARGE: f64 = 0.3;

/// The concentration counts as if there were at least so many machines of a type and kind.
const MIN_MACHINES_FOR_CONCENTRATION: usize = 30;

/// How long an offer is not used after it brought fewer machines than requested.
const EXHAUSTED_BACKOFF: Micros = Micros::from_millis(15_000);

/// How long an offer is not used after a refusal, in milliseconds: doubled with each …
const REFUSAL_BACKOFF_MS: u64 = 5_000;

/// … of the first so many.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;

/// Stands for all zones together in [`MachineCounts`].
const ALL_ZONES: &str = "";

/// A machine type in a zone, as spot or ordinary instances: what the cloud may or may not have
/// more of.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct InstanceOffer {
    machine_type: String,
    zone: String,
    spot: bool,
}

impl From<&ScaleOutRecord> for InstanceOffer {
    fn from(record: &ScaleOutRecord) -> Self {
        InstanceOffer {
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

/// The offers that had too few machines lately, and until when they are not used.
#[derive(Default)]
pub(super) struct OfferBackoff(BTreeMap<InstanceOffer, Backoff>);

impl OfferBackoff {
    fn is_open(&self, now: Micros, offer: &InstanceOffer) -> bool {
        let backoff = self.0.get(offer);
        backoff.is_none_or(|backoff| now >= backoff.until)
    }

    /// The offer brought fewer machines than requested: it has no more for now.
    pub(super) fn note_exhausted(&mut self, now: Micros, offer: InstanceOffer) {
        let backoff = Backoff {
            until: now + EXHAUSTED_BACKOFF,
            refusals: 1,
        };
        self.0.insert(offer, backoff);
    }

    /// The offer was refused: exponential backoff.
    pub(super) fn note_refusal(&mut self, now: Micros, offer: InstanceOffer) {
        let backoff = self.0.entry(offer).or_default();
        backoff.refusals += 1;
        let doublings = backoff.refusals.min(MAX_BACKOFF_DOUBLINGS);
        backoff.until = now + Micros::from_millis(REFUSAL_BACKOFF_MS << doublings);
    }

    /// The offer brought all machines that were requested.
    pub(super) fn clear(&mut self, offer: &InstanceOffer) {
        self.0.remove(offer);
    }
}

/// An offer, with what is known of its type.
#[derive(Clone, Copy)]
pub(super) struct Offer<'a> {
    pub(super) machine_type: &'a MachineType,
    pub(super) zone: &'a str,
    pub(super) spot: bool,
}

impl Offer<'_> {
    fn is_of(&self, record: &ScaleOutRecord) -> bool {
        record.machine_type == self.machine_type.name
            && record.zone == self.zone
            && record.spot == self.spot
    }

    fn key(&self) -> InstanceOffer {
        InstanceOffer {
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

/// How many machines are recorded of each type, zone and kind.
pub(super) struct MachineCounts<'a>(BTreeMap<CountKey<'a>, usize>);

impl<'a> MachineCounts<'a> {
    /// Counts the recorded machines.
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

    fn of(&self, offer: &Offer<'_>, zone: &str) -> usize {
        let key = CountKey {
            machine_type: &offer.machine_type.name,
            zone,
            spot: offer.spot,
        };
        self.0.get(&key).copied().unwrap_or(0)
    }

    /// The share of a type and kind's machines that an offer's zone has.
    fn concentration(&self, offer: &Offer<'_>) -> f64 {
        let all = self
            .of(offer, ALL_ZONES)
            .max(MIN_MACHINES_FOR_CONCENTRATION);
        self.of(offer, offer.zone) as f64 / all as f64
    }
}

/// What offers are compared by in one step.
#[derive(Clone, Copy)]
pub(super) struct OfferSearch<'a> {
    pub(super) now: Micros,
    pub(super) fleet: &'a FleetSnapshot<'a>,
    pub(super) counts: &'a MachineCounts<'a>,
}

impl ScaleOuts {
    /// The offer with the lowest price per task, of those that can be used now; at equal prices
    /// the one that there are fewest machines of, so that one wave does not take all.
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

    /// Whether anything may be scaled out in a zone. Where its health is to be probed, one
    /// machine at a time.
    fn may_scale_out_in(&self, zone: &str, fleet: &FleetSnapshot<'_>) -> bool {
        match (fleet.scale_out_access)(zone) {
            ScaleOutAccess::Open => true,
            ScaleOutAccess::Probe => !self.is_any_in(zone),
            ScaleOutAccess::Closed => false,
        }
    }

    /// Whether an offer suits a request, was not refused lately and is not being used already.
    fn is_usable(&self, now: Micros, offer: &Offer<'_>, request: &CapacityRequest) -> bool {
        let Offer {
            machine_type,
            zone,
            spot,
        } = *offer;
        self.backoff.is_open(now, &offer.key())
            && !self.records_in_progress().any(|record| offer.is_of(record))
            && request.fits(&machine_type.name, zone, spot, &machine_type.capacity())
    }

    /// The price that offers are compared by, per hour and task: the offer's, raised where
    /// larger tasks lack such machines and where a zone has many of them already.
    fn price_per_task(
        &self,
        search: &OfferSearch<'_>,
        offer: &Offer<'_>,
        request: &CapacityRequest,
        tasks_per_machine: u32,
    ) -> f64 {
        let concentration = search.counts.concentration(offer);
        let scarcity = if self.is_wanted_by_larger(search.fleet, offer.machine_type, request) {
            SCARCITY_FACTOR
        } else {
            1.0
        };
        offer.hourly_price() / f64::from(tasks_per_machine)
            * scarcity
            * (1.0 + CONCENTRATION_SURCHARGE * concentration)
    }

    /// Whether work that fits no smaller type lacked room lately: there are only so many large
    /// machines, and small tasks have a choice.
    fn is_wanted_by_larger(
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
