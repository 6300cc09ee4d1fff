//! The leader's part: it decides the state of every zone from the evidence of all
//! controllers, and goes on from what an earlier leader committed.
//!
//! ```text
//! handle(now, wall_clock, message) -> effects
//! ```
//!
//! Nothing is relied on before it is committed, but for one thing: scale-outs avoid a zone
//! as soon as it is suspect here, since one that is not made can do no harm.

mod zone;

use crate::evidence::{EvidenceTable, ZoneEvidence};
use crate::health::{Condition, ZoneObservation, ZoneState};
use crate::record::{VERSION, ZonesRecord};
use crate::settings::{DeclaredState, Settings};
use rockdeal_types::clock::Micros;
use rockdeal_types::ids::{Revision, ZoneId};
use std::collections::BTreeMap;
use zone::{Zone, log_transition, resume};

/// Between two evaluations of the evidence.
const EVALUATION_INTERVAL: Micros = Micros::from_millis(500);
/// A commit without an answer for so long is asked for again.
const COMMIT_TIMEOUT: Micros = Micros::from_millis(6_000);
/// Machines take at least about so long to boot: they are scaled out so long before the
/// end of a probation, and are up when it ends.
const SCALE_OUT_LEAD_TIME: Micros = Micros::from_millis(20_000);
/// After it begins to lead, a leader has not received all evidence yet.
const EVIDENCE_SETTLING_TIME: Micros = Micros::from_millis(2_000);

/// A message to the core.
#[derive(Debug, Clone)]
pub enum Message {
    /// This controller leads, under the leader key's revision, and this is the record that
    /// it has read; none: there is none that counts.
    Leading {
        /// The revision of the leader's key.
        leader: Revision,
        /// The record, as far as it can be read.
        record: Option<ZonesRecord>,
    },
    /// It does not lead any more.
    Following,
    /// What a controller sees of the zones.
    Evidence(ZoneEvidence),
    /// Time has passed.
    Tick,
    /// The answer to a commit.
    Committed {
        /// Whether it was carried out; false: surely not, and it is to be asked for again.
        done: bool,
    },
}

/// What the core wants done.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Commit this record, conditional on the leader's key.
    Commit(ZonesRecord),
}

#[derive(Debug)]
struct Leadership {
    leader: Revision,
    since: Micros,
}

/// What is known of the record in the store.
#[derive(Debug, PartialEq)]
enum Stored {
    /// There is none that counts.
    Nothing,
    /// It may be any: an earlier leader's, or one whose commit had no answer.
    Unknown,
    /// This one.
    Record(ZonesRecord),
}

/// Whether new machines may be scaled out in a zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ScaleOutAccess {
    /// As in any zone.
    Open,
    /// None.
    Closed,
    /// One machine, to see whether the zone is back: nothing of it is left that would give evidence.
    Probe,
}

/// The zones under one leadership.
#[derive(Debug)]
pub struct ZoneLeader {
    settings: Settings,
    evidence: EvidenceTable,
    zones: BTreeMap<ZoneId, Zone>,
    leadership: Option<Leadership>,
    last_evaluated_at: Micros,
    stored: Stored,
    /// The commit in flight, and since when.
    commit_in_flight: Option<(Micros, ZonesRecord)>,
}

impl ZoneLeader {
    /// The zones of a site, all healthy.
    pub fn new(settings: Settings, zones: impl IntoIterator<Item = ZoneId>) -> Self {
        let zones = zones.into_iter().map(|zone| (zone, Zone::default()));
        ZoneLeader {
            settings,
            evidence: EvidenceTable::default(),
            zones: zones.collect(),
            leadership: None,
            last_evaluated_at: Micros::ZERO,
            stored: Stored::Nothing,
            commit_in_flight: None,
        }
    }

    /// Takes one message in. `now` is the steady clock, `wall_clock` the time of day.
    pub fn handle(&mut self, now: Micros, wall_clock: Micros, message: Message) -> Vec<Effect> {
        match message {
            Message::Leading { leader, record } => {
                self.assume_leadership(now, wall_clock, leader, record)
            }
            Message::Following => self.leadership = None,
            Message::Evidence(evidence) => self.evidence.receive(now, evidence),
            Message::Tick => return self.tick(now, wall_clock),
            Message::Committed { done } => {
                self.stored = match self.commit_in_flight.take() {
                    Some((_, record)) if done => Stored::Record(record),
                    _ => Stored::Unknown,
                };
            }
        }
        Vec::new()
    }

    /// Whether this controller leads here under that key.
    pub fn is_leading(&self, leader: Revision) -> bool {
        self.leadership
            .as_ref()
            .is_some_and(|leadership| leadership.leader == leader)
    }

    /// A new leadership goes on from the committed record.
    fn assume_leadership(
        &mut self,
        now: Micros,
        wall_clock: Micros,
        leader: Revision,
        record: Option<ZonesRecord>,
    ) {
        if self.is_leading(leader) {
            return;
        }
        self.leadership = Some(Leadership { leader, since: now });
        self.last_evaluated_at = now;
        self.commit_in_flight = None;
        for zone in self.zones.values_mut() {
            *zone = Zone {
                last_seen_at: now,
                ..Zone::default()
            };
        }
        let recorded = record.iter().flat_map(|record| &record.zones);
        for (id, recorded) in recorded {
            // Zones that this site does not have any more are left out.
            if let Some(zone) = self.zones.get_mut(id) {
                *zone = resume(now, wall_clock, recorded);
                tracing::info!(zone = %id, state = ?recorded.state, epoch = recorded.epoch, wave = recorded.wave, "zone state restored");
            }
        }
        // Committed anew, so that followers know that this leader stands by it.
        self.stored = match record {
            Some(_) => Stored::Unknown,
            None => Stored::Nothing,
        };
    }

    fn tick(&mut self, now: Micros, wall_clock: Micros) -> Vec<Effect> {
        let Some(leadership) = &self.leadership else {
            return Vec::new();
        };
        let since = leadership.since;
        let elapsed = now.since(self.last_evaluated_at);
        if elapsed < EVALUATION_INTERVAL {
            return Vec::new();
        }
        self.last_evaluated_at = now;
        if now.since(since) >= EVIDENCE_SETTLING_TIME {
            self.evaluate(now, wall_clock, elapsed);
        }
        self.apply_declarations(now, wall_clock);
        self.commit(now).into_iter().collect()
    }

    fn evaluate(&mut self, now: Micros, wall_clock: Micros, elapsed: Micros) {
        let seen = self.evidence.observe(now);
        let conditions = self.conditions(&seen);
        let ids: Vec<ZoneId> = self.zones.keys().cloned().collect();
        for id in ids {
            let condition = conditions.get(&id).copied().unwrap_or(Condition::Unknown);
            let may_be_lost = self.another_is_healthy(&id, &conditions);
            let observation = seen.get(&id).copied().unwrap_or_default();
            let Some(zone) = self.zones.get_mut(&id) else {
                continue;
            };
            if observation.machines > 0 {
                zone.last_seen_at = now;
            }
            if !zone.declared {
                let health = &self.settings.health;
                let transition = zone.health.observe(elapsed, condition, may_be_lost, health);
                if let Some(transition) = transition {
                    zone.entered(now, wall_clock);
                    log_transition(&id, zone, transition, observation, health);
                }
            }
            let evacuating = zone.health.state() == ZoneState::Lost;
            let due = now.since(zone.last_wave_at) >= self.settings.waves.interval;
            // No wave begins where nothing waits for one, nor without a place to go.
            if evacuating && due && observation.waiting > 0 && may_be_lost {
                zone.wave += 1;
                zone.last_wave_at = now;
                tracing::info!(zone = %id, epoch = zone.health.epoch(), wave = zone.wave, waiting = observation.waiting, "evacuation wave started");
            }
        }
    }

    fn conditions(&self, seen: &BTreeMap<ZoneId, ZoneObservation>) -> BTreeMap<ZoneId, Condition> {
        let health = &self.settings.health;
        let conditions: BTreeMap<ZoneId, Condition> = seen
            .iter()
            .map(|(id, observation)| (id.clone(), observation.condition(health)))
            .collect();
        let known = conditions
            .values()
            .filter(|condition| **condition != Condition::Unknown);
        if known.clone().count() > 1 && known.clone().all(|condition| *condition == Condition::Down)
        {
            // Guards against evacuating everything: that all zones are lost at once can't be
            // distinguished from a fault of the observers, and there is nowhere to go.
            return BTreeMap::new();
        }
        conditions
    }

    /// Whether some other zone could take the work: one that is healthy and not down now.
    fn another_is_healthy(&self, id: &ZoneId, conditions: &BTreeMap<ZoneId, Condition>) -> bool {
        self.zones.iter().any(|(other, zone)| {
            other != id
                && zone.health.state() == ZoneState::Healthy
                && conditions.get(other) != Some(&Condition::Down)
        })
    }

    /// What operators declare in the file wins over the evidence.
    fn apply_declarations(&mut self, now: Micros, wall_clock: Micros) {
        for (id, zone) in &mut self.zones {
            let declared = self.settings.declared.get(id);
            let state = match declared {
                Some(DeclaredState::Out) => ZoneState::Lost,
                Some(DeclaredState::In) => ZoneState::Healthy,
                None => {
                    zone.declared = false;
                    continue;
                }
            };
            zone.declared = true;
            if let Some(transition) = zone.health.declare(state) {
                zone.entered(now, wall_clock);
                tracing::info!(zone = %id, from = ?transition.from, to = ?transition.to, epoch = zone.health.epoch(), "zone state declared");
            }
        }
    }

    /// Commits the states if they differ from what was last committed.
    fn commit(&mut self, now: Micros) -> Option<Effect> {
        let leader = self.leadership.as_ref()?.leader;
        if let Some((since, _)) = &self.commit_in_flight {
            if now.since(*since) < COMMIT_TIMEOUT {
                return None;
            }
            // Guards against a state that followers never read: the commit may be lost.
            self.commit_in_flight = None;
            self.stored = Stored::Unknown;
        }
        let record = ZonesRecord {
            version: VERSION,
            leader,
            zones: self
                .zones
                .iter()
                .filter(|(_, zone)| !zone.is_untouched())
                .map(|(id, zone)| (id.clone(), zone.record()))
                .collect(),
        };
        let is_stored = match &self.stored {
            Stored::Nothing => record.zones.is_empty(),
            Stored::Unknown => false,
            Stored::Record(stored) => *stored == record,
        };
        if is_stored {
            return None;
        }
        self.commit_in_flight = Some((now, record.clone()));
        Some(Effect::Commit(record))
    }

    /// Whether machines may be scaled out in a zone now.
    pub fn scale_out_access(&self, now: Micros, id: &ZoneId) -> ScaleOutAccess {
        let Some(zone) = self.zones.get(id).filter(|_| self.leadership.is_some()) else {
            return ScaleOutAccess::Open;
        };
        let is_unseen = now.since(zone.last_seen_at) >= self.settings.health.probe_after;
        let probation_left = zone.health.probation_left(&self.settings.health);
        match zone.health.state() {
            ZoneState::Healthy => ScaleOutAccess::Open,
            ZoneState::Probation if probation_left <= SCALE_OUT_LEAD_TIME => ScaleOutAccess::Open,
            // Guards against a zone that stays in its state for ever, whichever it is: with
            // its last machine returned, there is no evidence about it any more.
            _ if is_unseen && !zone.declared => ScaleOutAccess::Probe,
            _ => ScaleOutAccess::Closed,
        }
    }

    /// A probe was scaled out in a zone: the next one only after a while.
    pub fn record_probe(&mut self, now: Micros, id: &ZoneId) {
        if let Some(zone) = self.zones.get_mut(id) {
            zone.last_seen_at = now;
        }
    }
}
