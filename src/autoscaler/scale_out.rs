//! What to rent for the room that waiting work lacks, and asking the cloud for it.

use super::{
    Autoscaler, Effect, FleetSnapshot, InstanceOffer, PendingCapacity, ScaleOutState, Write,
};
use crate::clock::Micros;
use crate::cloud::ScaleOutRecord;
use crate::cloud::{CloudRequest, MachineType};
use crate::fairness::Resources;
use crate::ids::Revision;
use crate::placement::CapacityRequest;
use crate::store::{self, Compare, compare, keys};
use crate::watch_cache::WatchCache;
use std::collections::BTreeMap;
use zone_failover::leader::ScaleOutAccess;

const MOST_RENTALS_OUT: usize = 6;

/// A large machine must be this much cheaper per task to be rented for small
/// ones, while large ones lack room.
const SCARCE: f64 = 1.5;

/// So much dearer does a zone seem that has all machines of a type and kind: as
/// many times dearer as there are machines, it once made spot machines seem dearer
/// than ordinary ones in large fleets.
const SPREAD: f64 = 0.3;

const LEAST_SPREAD: usize = 30;

const SHAPE_KEPT: Micros = Micros::from_millis(180_000);

/// The cloud takes no more in one request.
const MOST_PER_RENTAL: u32 = 50;

impl Autoscaler {
    pub(super) fn ask_rentals(
        &mut self,
        now: Micros,
        cache: &WatchCache,
        leader: &Compare,
        out: &mut Vec<Effect>,
    ) {
        for (name, (rental, state)) in &mut self.rentals {
            match state {
                ScaleOutState::Ask(at) if now >= *at => {
                    out.push(Effect::Cloud(CloudRequest::ScaleOut {
                        name: name.clone(),
                        record: rental.clone(),
                    }));
                    *state = ScaleOutState::StatusQuery;
                }
                ScaleOutState::Refused => {
                    *state = ScaleOutState::Recording;
                    // Only if it is recorded; else there is nothing to drop.
                    if let Some((revision, _)) = cache.scale_outs.get(name) {
                        let key = keys::scale_out(name);
                        let compares = vec![leader.clone(), compare(key.clone(), *revision)];
                        out.push(Effect::CompareAndSwap(
                            Write::Drop { name: name.clone() },
                            compares,
                            vec![store::delete(key)],
                        ));
                    } else {
                        *state = ScaleOutState::Refused;
                    }
                }
                _ => {}
            }
        }
    }

    pub(super) fn rent(&mut self, now: Micros, fleet: &FleetSnapshot<'_>, out: &mut Vec<Effect>) {
        let FleetSnapshot {
            cache,
            leader,
            types,
            news,
            access,
            ..
        } = *fleet;
        self.credits.retain(|_, c| c.until > now);
        self.shapes.retain(|(_, at)| now.since(*at) < SHAPE_KEPT);
        for need in news.values().flat_map(|n| &n.capacity_requests) {
            match self.shapes.iter_mut().find(|(s, _)| *s == need.request) {
                Some((_, at)) => *at = now,
                None => self.shapes.push((need.request, now)),
            }
        }
        if self.list.is_empty() && self.listed_at == now {
            return;
        }
        let out_now = self
            .rentals
            .values()
            .filter(|(_, h)| !matches!(h, ScaleOutState::Refused))
            .count();
        let mut may = MOST_RENTALS_OUT.saturating_sub(out_now);
        if may == 0 || news.values().all(|n| n.capacity_requests.is_empty()) {
            return;
        }
        let mut have: BTreeMap<(&str, &str, bool), usize> = BTreeMap::new();
        for (_, _, m) in cache.all_machines() {
            *have.entry((&m.machine_type, &m.zone, m.spot)).or_default() += 1;
            // Under the empty zone: in all of them.
            *have.entry((&m.machine_type, "", m.spot)).or_default() += 1;
        }
        for (b, n) in news {
            if now.since(n.received_at) > Micros::from_millis(4_000) {
                continue;
            }
            // What is on its way serves the needs in their order; so does what is
            // left of a machine that is rented for one of them.
            let on_the_way = self.credits.values().filter(|c| c.partition == *b);
            let mut rooms: Vec<Resources> = on_the_way
                .flat_map(|c| std::iter::repeat_n(c.capacity, c.count as usize))
                .collect();
            for need in &n.capacity_requests {
                let mut count = need.count;
                for free in &mut rooms {
                    let n = need.request.times_in(free).min(count);
                    *free -= need.request.scale(f64::from(n));
                    count -= n;
                }
                if count == 0 || may == 0 {
                    continue;
                }
                let Some((t, zone, spot)) = self.cheapest(now, &have, types, need, access) else {
                    continue;
                };
                if !spot {
                    // Ordinary machines cost several times as much: work that is soon
                    // over by itself is worth fewer of them.
                    let part = |h: f64| (need.estimated_run_time_s / h).min(1.0);
                    let horizon = self.horizon.as_secs();
                    count = (f64::from(count) * part(3.0 * horizon) / part(horizon)).round() as u32;
                }
                let per = need.request.times_in(&t.capacity()).max(1);
                let most = match access(&zone) {
                    ScaleOutAccess::Open => MOST_PER_RENTAL,
                    ScaleOutAccess::Probe => 1,
                    ScaleOutAccess::Closed => 0,
                };
                let machines = count.div_ceil(per).min(most);
                if machines == 0 {
                    continue;
                }
                may -= 1;
                for i in 0..machines {
                    let used = (count - (i * per).min(count)).min(per);
                    rooms.push(t.capacity() - need.request.scale(f64::from(used)));
                }
                let rental = ScaleOutRecord {
                    machine_type: t.name.clone(),
                    zone,
                    spot,
                    count: machines,
                    partition: *b,
                };
                out.push(self.record_rental(now, leader, rental, t.capacity()));
            }
        }
    }

    /// A rental is recorded before the cloud is asked.
    fn record_rental(
        &mut self,
        now: Micros,
        leader: &Compare,
        rental: ScaleOutRecord,
        capacity: Resources,
    ) -> Effect {
        self.counter += 1;
        // The leadership's revision is never reused, so neither is the name.
        let name = format!("r-{}-{}", self.leader_revision, self.counter);
        tracing::info!(%name, ?rental, "renting");
        let until = now + Micros::from_millis(8_000);
        self.credits.insert(
            name.clone(),
            PendingCapacity {
                partition: rental.partition,
                until,
                capacity,
                count: rental.count,
            },
        );
        let key = keys::scale_out(&name);
        let compares = vec![leader.clone(), compare(key.clone(), Revision(0))];
        let mutations = vec![store::put(key, &rental)];
        self.rentals
            .insert(name.clone(), (rental.clone(), ScaleOutState::Recording));
        Effect::CompareAndSwap(Write::ScaleOut { name, rental }, compares, mutations)
    }

    /// Whether work that fits no smaller type was short of room lately: there are
    /// only so many large machines, and small tasks have a choice.
    fn wanted_by_larger(
        &self,
        t: &MachineType,
        types: &[MachineType],
        need: &CapacityRequest,
    ) -> bool {
        let fitting = types.iter().filter(|t| need.request.fits_in(&t.capacity()));
        let Some(least) = fitting.min_by(|a, b| a.cores.total_cmp(&b.cores)) else {
            return false;
        };
        let (least, this) = (least.capacity(), t.capacity());
        self.shapes
            .iter()
            .any(|(shape, _)| !shape.fits_in(&least) && shape.fits_in(&this))
    }

    /// Whether anything may be rented in a zone. Where its state is to be found out, one
    /// machine at a time.
    fn may_rent_in(&self, zone: &str, access: &dyn Fn(&str) -> ScaleOutAccess) -> bool {
        let asked = || self.rentals.values().any(|(rental, _)| rental.zone == zone);
        match access(zone) {
            ScaleOutAccess::Open => true,
            ScaleOutAccess::Probe => !asked(),
            ScaleOutAccess::Closed => false,
        }
    }

    /// The cheapest offer per task that was not refused lately; among equals the
    /// one that we have least of, so that one wave does not take all.
    fn cheapest(
        &self,
        now: Micros,
        have: &BTreeMap<(&str, &str, bool), usize>,
        types: &[MachineType],
        need: &CapacityRequest,
        access: &dyn Fn(&str) -> ScaleOutAccess,
    ) -> Option<(MachineType, String, bool)> {
        let mut best: Option<(f64, MachineType, String, bool)> = None;
        for t in types {
            let per = need.request.times_in(&t.capacity());
            for zone in t.zones.iter().filter(|_| per > 0) {
                if !self.may_rent_in(zone, access) {
                    continue;
                }
                for spot in [true, false] {
                    let offer = InstanceOffer {
                        machine_type: t.name.clone(),
                        zone: zone.clone(),
                        spot,
                    };
                    let open = self.backoff.get(&offer).is_none_or(|b| now >= b.until);
                    let asked = self.rentals.values().any(|(h, s)| {
                        h.machine_type == t.name
                            && h.zone == *zone
                            && h.spot == spot
                            && !matches!(s, ScaleOutState::Refused)
                    });
                    if !open || asked || !need.fits(&t.name, zone, spot, &t.capacity()) {
                        continue;
                    }
                    let count = |zone| have.get(&(t.name.as_str(), zone, spot)).copied();
                    let all = count("").unwrap_or(0).max(LEAST_SPREAD);
                    let part = count(zone.as_str()).unwrap_or(0) as f64 / all as f64;
                    let hourly = if spot { t.spot_price } else { t.price };
                    let scarce = if self.wanted_by_larger(t, types, need) {
                        SCARCE
                    } else {
                        1.0
                    };
                    let price = hourly / f64::from(per) * scarce * (1.0 + SPREAD * part);
                    if best.as_ref().is_none_or(|(p, ..)| price < *p) {
                        best = Some((price, t.clone(), zone.clone(), spot));
                    }
                }
            }
        }
        best.map(|(_, t, z, s)| (t, z, s))
    }
}
