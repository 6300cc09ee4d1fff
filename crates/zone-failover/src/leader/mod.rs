//! The leader's state machine. It decides the state of every zone from the evidence of all
//! controllers, and continues from the record that an earlier leader committed.
//!
//! ```text
//! handle(now, wall_clock, message) -> effects
//! ```
//!
//! Controllers act on a state only after it has been committed, with one exception: the leader
//! stops scaling out in a zone as soon as it finds the zone suspect. That is safe before the
//! commit, because omitting a scale-out does no harm.

mod zone;

use crate::evidence::{EvidenceTable, ZoneEvidence};
use crate::health::{Condition, ZoneObservation, ZoneState};
use crate::record::{VERSION, ZonesRecord};
use crate::settings::{DeclaredState, Settings};
use rockdeal_types::clock::Micros;
use rockdeal_types::ids::{Revision, ZoneId};
use std::collections::BTreeMap;
use zone::{Zone, log_transition, resume};

/// Minimum time between two evaluations of the evidence.
const EVALUATION_INTERVAL: Micros = Micros::from_millis(500);
/// Time after which an unanswered commit is requested again.
const COMMIT_TIMEOUT: Micros = Micros::from_millis(6_000);
/// Remaining probation at which scale-outs in the zone begin. Machines take at least about 20 s to
/// boot, so machines scaled out at that point are up when the probation ends.
const SCALE_OUT_LEAD_TIME: Micros = Micros::from_millis(20_000);
/// Time after the start of a leadership during which the evidence is not evaluated, because the
/// leader has not yet received the evidence of all controllers.
const EVIDENCE_SETTLING_TIME: Micros = Micros::from_millis(2_000);

/// A message to the state machine.
#[derive(Debug, Clone)]
pub enum Message {
    /// This controller leads. Ignored if it already leads under the same revision.
    Leading {
        /// The revision of the leader's key, which identifies the leadership.
        leader: Revision,
        /// The record that was read from the store; `None` if there is none or if it cannot be
        /// read.
        record: Option<ZonesRecord>,
    },
    /// This controller does not lead.
    Following,
    /// A controller has sent its evidence about the zones.
    Evidence(ZoneEvidence),
    /// Time has passed. Evaluates the evidence if the evaluation is due.
    Tick,
    /// The commit in flight has been answered.
    Committed {
        /// Whether the commit was carried out. If false, the record in the store is unknown, and
        /// the states are committed again.
        done: bool,
    },
}

/// An action that the caller must carry out for the state machine.
#[derive(Debug, Clone, PartialEq)]
pub enum Effect {
    /// Commit this record, on the condition that the leader's key is unchanged.
    Commit(ZonesRecord),
}

/// The current leadership of this controller and the time at which it began.
#[derive(Debug)]
struct Leadership {
    leader: Revision,
    since: Micros,
}

/// What the leader knows about the record in the store.
#[derive(Debug, PartialEq)]
enum Stored {
    /// The store holds no record that can be used.
    Absent,
    /// The contents are unknown: an earlier leader's record, or one whose commit was not confirmed.
    Unknown,
    /// The store holds this record.
    Record(ZonesRecord),
}

/// Whether new machines may be scaled out in a zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ScaleOutAccess {
    /// Machines may be scaled out without restrictions.
    Open,
    /// No machine may be scaled out.
    Closed,
    /// One machine may be scaled out to probe whether the zone is up again. No machine is left in
    /// the zone that could provide evidence.
    Probe,
}

/// The states of all zones, as the leader decides them.
///
/// Every controller holds one and feeds it with evidence. It decides and commits states only while
/// its controller leads.
#[derive(Debug)]
pub struct ZoneLeader {
    settings: Settings,
    evidence: EvidenceTable,
    zones: BTreeMap<ZoneId, Zone>,
    leadership: Option<Leadership>,
    last_evaluated_at: Micros,
    stored: Stored,
    /// The time of the request and the record of the commit in flight, if there is one.
    commit_in_flight: Option<(Micros, ZonesRecord)>,
}

impl ZoneLeader {
    /// Creates the state machine for the zones of a site. All zones are healthy.
    pub fn new(settings: Settings, zones: impl IntoIterator<Item = ZoneId>) -> Self {
        let zones = zones.into_iter().map(|zone| (zone, Zone::default()));
        ZoneLeader {
            settings,
            evidence: EvidenceTable::default(),
            zones: zones.collect(),
            leadership: None,
            last_evaluated_at: Micros::ZERO,
            stored: Stored::Absent,
            commit_in_flight: None,
        }
    }

    /// Handles one message and returns the effects to carry out. `now` is the time of the monotonic
    /// clock, `wall_clock` the time of day.
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

    /// Returns whether this controller leads under that revision of the leader's key.
    pub fn is_leading(&self, leader: Revision) -> bool {
        self.leadership
            .as_ref()
            .is_some_and(|leadership| leadership.leader == leader)
    }

    /// Begins a new leadership, which continues from the committed record.
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
            // Recorded zones that the site no longer has are ignored.
            if let Some(zone) = self.zones.get_mut(id) {
                *zone = resume(now, wall_clock, recorded);
                tracing::info!(zone = %id, state = ?recorded.state, epoch = recorded.epoch, wave = recorded.wave, "zone state restored");
            }
        }
        // The record is committed again under this leadership. Otherwise followers would discard it
        // as the record of a leader that no longer leads.
        self.stored = match record {
            Some(_) => Stored::Unknown,
            None => Stored::Absent,
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

    /// Evaluates the evidence: changes the states of zones and starts evacuation waves.
    fn evaluate(&mut self, now: Micros, wall_clock: Micros, elapsed: Micros) {
        let observations = self.evidence.observe(now);
        let conditions = self.conditions(&observations);
        let ids: Vec<ZoneId> = self.zones.keys().cloned().collect();
        for id in ids {
            let condition = conditions.get(&id).copied().unwrap_or(Condition::Unknown);
            let may_be_lost = self.another_zone_is_healthy(&id, &conditions);
            let observation = observations.get(&id).copied().unwrap_or_default();
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
                    zone.record_state_change(now, wall_clock);
                    log_transition(&id, zone, transition, observation, health);
                }
            }
            let evacuating = zone.health.state() == ZoneState::Lost;
            let due = now.since(zone.last_wave_at) >= self.settings.waves.interval;
            // A wave starts only if work waits for it and another zone can take the work.
            if evacuating && due && observation.waiting > 0 && may_be_lost {
                zone.wave += 1;
                zone.last_wave_at = now;
                tracing::info!(zone = %id, epoch = zone.health.epoch(), wave = zone.wave, waiting = observation.waiting, "evacuation wave started");
            }
        }
    }

    /// Returns the condition of every observed zone. Returns no condition at all if more than one
    /// zone has a known condition and all of them are down.
    fn conditions(
        &self,
        observations: &BTreeMap<ZoneId, ZoneObservation>,
    ) -> BTreeMap<ZoneId, Condition> {
        let health = &self.settings.health;
        let conditions: BTreeMap<ZoneId, Condition> = observations
            .iter()
            .map(|(id, observation)| (id.clone(), observation.condition(health)))
            .collect();
        let known = conditions
            .values()
            .filter(|condition| **condition != Condition::Unknown);
        if known.clone().count() > 1 && known.clone().all(|condition| *condition == Condition::Down)
        {
            // Guards against evacuating all zones. A loss of all zones at once can't be
            // distinguished from a fault of the observers, and no zone could take the work.
            return BTreeMap::new();
        }
        conditions
    }

    /// Returns whether another zone could take the work of a zone: its state is healthy, and the
    /// evidence does not show it down.
    fn another_zone_is_healthy(
        &self,
        id: &ZoneId,
        conditions: &BTreeMap<ZoneId, Condition>,
    ) -> bool {
        self.zones.iter().any(|(other, zone)| {
            other != id
                && zone.health.state() == ZoneState::Healthy
                && conditions.get(other) != Some(&Condition::Down)
        })
    }

    /// Applies the states that operators declare in the settings. They take precedence over the
    /// evidence.
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
                zone.record_state_change(now, wall_clock);
                tracing::info!(zone = %id, from = ?transition.from, to = ?transition.to, epoch = zone.health.epoch(), "zone state declared");
            }
        }
    }

    /// Requests a commit of the states if they differ from the record in the store. Requests none
    /// while another commit is in flight.
    fn commit(&mut self, now: Micros) -> Option<Effect> {
        let leader = self.leadership.as_ref()?.leader;
        if let Some((since, _)) = &self.commit_in_flight {
            if now.since(*since) < COMMIT_TIMEOUT {
                return None;
            }
            // Guards against states that never reach the store because the commit was lost.
            self.commit_in_flight = None;
            self.stored = Stored::Unknown;
        }
        let record = ZonesRecord {
            version: VERSION,
            leader,
            zones: self
                .zones
                .iter()
                .filter(|(_, zone)| !zone.needs_no_record())
                .map(|(id, zone)| (id.clone(), zone.record()))
                .collect(),
        };
        let is_stored = match &self.stored {
            Stored::Absent => record.zones.is_empty(),
            Stored::Unknown => false,
            Stored::Record(stored) => *stored == record,
        };
        if is_stored {
            return None;
        }
        self.commit_in_flight = Some((now, record.clone()));
        Some(Effect::Commit(record))
    }

    /// Returns whether machines may be scaled out in a zone now. Zones that are not configured are
    /// open, and so are all zones while this controller does not lead.
    pub fn scale_out_access(&self, now: Micros, id: &ZoneId) -> ScaleOutAccess {
        let Some(zone) = self.zones.get(id).filter(|_| self.leadership.is_some()) else {
            return ScaleOutAccess::Open;
        };
        let lacks_evidence = now.since(zone.last_seen_at) >= self.settings.health.probe_after;
        let probation_left = zone.health.probation_left(&self.settings.health);
        match zone.health.state() {
            ZoneState::Healthy => ScaleOutAccess::Open,
            ZoneState::Probation if probation_left <= SCALE_OUT_LEAD_TIME => ScaleOutAccess::Open,
            // Guards against a zone that stays suspect, lost or on probation for ever: after its
            // last machine has been released, there is no evidence about it.
            _ if lacks_evidence && !zone.declared => ScaleOutAccess::Probe,
            _ => ScaleOutAccess::Closed,
        }
    }

    /// Records that a probe machine was scaled out in a zone. The next probe is allowed only after
    /// `probe_after` without evidence.
    pub fn record_probe(&mut self, now: Micros, id: &ZoneId) {
        if let Some(zone) = self.zones.get_mut(id) {
            zone.last_seen_at = now;
        }
    }
}
