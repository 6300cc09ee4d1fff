//! Zone failover in a controller. Passes the evidence about zones and the committed zone record
//! to the package `zone-failover`, which makes the decisions, and writes the record that the
//! package wants to commit. Provides the states of the zones to placement and the autoscaler.
//!
//! Invariant: only the current leader can commit the zone record, because each commit is
//! conditional on the leader's key.

mod evacuation;
mod order;

pub use evacuation::ZoneEvacuation;
pub use order::EvacuationOrder;

use crate::clock::Micros;
use crate::ids::{Label, Revision, ZoneId};
use crate::jobs::JobDesc;
use crate::settings::Settings;
use crate::store::{Compare, Mutation, Reply, Versioned, keys};
use crate::watch_cache::WatchCache;
use std::collections::BTreeMap;
use std::rc::Rc;
use zone_failover::evidence::{ZoneCounts, ZoneEvidence};
use zone_failover::health::ZoneState;
use zone_failover::leader::{Effect, Message, ScaleOutAccess, ZoneLeader};
use zone_failover::record::{RecordError, ZoneRecord, ZonesRecord};
use zone_failover::view::ZoneView;

/// Checked settings of zone failover.
#[derive(Debug)]
pub struct ZoneFailoverConfig {
    /// Settings of the package `zone-failover`.
    pub settings: zone_failover::settings::Settings,
    /// Order in which displaced jobs are evacuated.
    pub order: EvacuationOrder,
}

/// States of the zones that placement and the partitions' owners act on.
#[derive(Debug, PartialEq)]
pub struct ZoneSituation {
    /// Records of the zones that are not healthy.
    pub unhealthy: BTreeMap<ZoneId, ZoneRecord>,
    /// Records of the zones that were lost and are healthy again.
    pub recovered: BTreeMap<ZoneId, ZoneRecord>,
    /// Waiting time after which a job may use any machine whose heartbeats arrive, even in a zone
    /// that is lost or on probation.
    pub patience: Micros,
}

impl ZoneSituation {
    /// Creates the situation in which all zones are healthy and none was ever lost.
    pub fn healthy(config: &ZoneFailoverConfig) -> Self {
        ZoneSituation {
            unhealthy: BTreeMap::new(),
            recovered: BTreeMap::new(),
            patience: config.settings.health.patience,
        }
    }

    /// Returns the state of a zone.
    pub fn state(&self, zone: &str) -> ZoneState {
        self.unhealthy
            .get(zone)
            .map_or(ZoneState::Healthy, |zone| zone.state)
    }

    /// Returns the records of the zones that are lost.
    pub fn lost(&self) -> BTreeMap<ZoneId, ZoneRecord> {
        let lost = self
            .unhealthy
            .iter()
            .filter(|(_, zone)| zone.state == ZoneState::Lost);
        lost.map(|(id, zone)| (id.clone(), zone.clone())).collect()
    }

    /// Returns whether tasks of a job must not be placed in a zone because the zone is lost or on
    /// probation. This does not apply to a job that is bound to the zone, or that has waited for
    /// at least [`ZoneSituation::patience`]: such a job may use the machines there whose
    /// heartbeats arrive.
    pub fn closed_to(&self, job: &JobDesc, waited: Micros, zone: &str) -> bool {
        let avoided = matches!(self.state(zone), ZoneState::Lost | ZoneState::Probation);
        let is_bound_to_zone = job.zone.as_deref() == Some(zone);
        avoided && !is_bound_to_zone && waited < self.patience
    }
}

/// Interval at which the view is evaluated even without a change of the record, because the
/// record of a replaced leader is valid only for a limited time.
const REFRESH_INTERVAL: Micros = Micros::from_millis(500);

/// Zone failover in one controller.
#[derive(Debug)]
pub struct ZoneFailover {
    /// Checked settings.
    pub config: Rc<ZoneFailoverConfig>,
    label: Label,
    leader: ZoneLeader,
    view: ZoneView,
    /// Zone record as last read; `None` if there is none, or if it is unreadable.
    record: Option<ZonesRecord>,
    /// Revision of the zone record in the store; 0 if there is none.
    record_revision: Revision,
    /// Whether a newer version of this program wrote the record. Such a record is not
    /// overwritten.
    is_record_newer: bool,
    /// Number of unreadable records read so far.
    unreadable_records: u64,
    /// Sequence number of the last evidence of this controller.
    sequence: u64,
    situation: Rc<ZoneSituation>,
    last_refresh: Micros,
}

impl ZoneFailover {
    /// Creates the state of a controller that has received no evidence about any zone yet.
    pub fn new(config: Rc<ZoneFailoverConfig>, settings: &Settings) -> Self {
        let zones = settings
            .platform
            .zones
            .iter()
            .map(|zone| zone.as_str().into());
        let situation = ZoneSituation::healthy(&config);
        ZoneFailover {
            label: settings.label.clone(),
            leader: ZoneLeader::new(config.settings.clone(), zones),
            config,
            view: ZoneView::default(),
            record: None,
            record_revision: Revision(0),
            is_record_newer: false,
            unreadable_records: 0,
            sequence: 0,
            situation: Rc::new(situation),
            last_refresh: Micros::ZERO,
        }
    }

    /// Returns the states of the zones.
    pub fn situation(&self) -> &Rc<ZoneSituation> {
        &self.situation
    }

    /// Updates the states of the zones from the records read from the store.
    pub fn sync(&mut self, now: Micros, cache: &WatchCache) {
        let (revision, value) = match &cache.zones {
            Some(Versioned {
                revision,
                record: value,
            }) => (*revision, Some(value)),
            None => (Revision(0), None),
        };
        if revision != self.record_revision {
            self.record_revision = revision;
            self.is_record_newer = false;
            self.record = value.and_then(|value| match ZonesRecord::read(value) {
                Ok(record) => Some(record),
                Err(error) => {
                    self.is_record_newer = matches!(error, RecordError::Newer(_));
                    self.unreadable_records += 1;
                    tracing::error!(%error, unreadable = self.unreadable_records, "zone record unreadable");
                    None
                }
            });
        }
        let leader = cache.leader.as_ref().map(|versioned| versioned.revision);
        self.view.sync(now, self.record.as_ref(), leader);
        self.refresh(now);
    }

    /// Updates the states of the zones if `REFRESH_INTERVAL` has passed since the last update.
    /// The states also change with time, without a new record.
    pub fn refresh_if_due(&mut self, now: Micros, cache: &WatchCache) {
        if now.since(self.last_refresh) >= REFRESH_INTERVAL {
            self.sync(now, cache);
        }
    }

    fn refresh(&mut self, now: Micros) {
        self.last_refresh = now;
        let situation = ZoneSituation {
            unhealthy: self.view.unhealthy(now),
            recovered: self.view.recovered(now),
            patience: self.situation.patience,
        };
        if situation != *self.situation {
            self.situation = Rc::new(situation);
        }
    }

    /// Records the evidence of a controller.
    pub fn record_evidence(&mut self, now: Micros, evidence: ZoneEvidence) {
        self.leader
            .handle(now, Micros::ZERO, Message::Evidence(evidence));
    }

    /// Creates the evidence of this controller from its counts, records it, and returns it to be
    /// sent to the peers.
    pub fn evidence(
        &mut self,
        now: Micros,
        incarnation: Revision,
        zones: Vec<ZoneCounts>,
    ) -> ZoneEvidence {
        self.sequence += 1;
        let evidence = ZoneEvidence {
            from: self.label.clone(),
            incarnation,
            sequence: self.sequence,
            zones,
        };
        self.record_evidence(now, evidence.clone());
        evidence
    }

    /// Records that this controller is not the leader.
    pub fn stop_leading(&mut self, now: Micros) {
        self.leader.handle(now, Micros::ZERO, Message::Following);
    }

    /// Evaluates the zones as the leader. Returns the conditions and mutations of the commit that
    /// is due, or `None` if nothing has to be committed. `leader` is the condition that the
    /// leader's key is unchanged.
    pub fn decide(
        &mut self,
        now: Micros,
        wall_clock: Micros,
        leader: &Compare,
    ) -> Option<(Vec<Compare>, Vec<Mutation>)> {
        if !self.leader.is_leading(leader.revision) {
            let record = self.record.clone();
            let leader = leader.revision;
            self.leader
                .handle(now, wall_clock, Message::Leading { leader, record });
        }
        let effects = self.leader.handle(now, wall_clock, Message::Tick);
        let Effect::Commit(record) = effects.into_iter().next()?;
        if self.is_record_newer {
            // An older version must not overwrite a record that a newer version committed.
            self.leader
                .handle(now, wall_clock, Message::Committed { done: false });
            return None;
        }
        // The commit is conditional on the leader's key, so the store refuses the commit of a
        // leader that has been replaced.
        let compares = vec![
            leader.clone(),
            Compare::new(keys::ZONES.into(), self.record_revision),
        ];
        Some((compares, vec![Mutation::put(keys::ZONES.into(), &record)]))
    }

    /// Handles the store's reply to a commit.
    pub fn handle_commit_reply(&mut self, now: Micros, reply: &Reply) {
        // A commit whose outcome is unknown is retried. Writing the same record twice is harmless.
        let done = matches!(reply, Reply::Committed(_));
        self.leader
            .handle(now, Micros::ZERO, Message::Committed { done });
    }

    /// Returns whether new machines may be scaled out in a zone.
    pub fn scale_out_access(&self, now: Micros, zone: &str) -> ScaleOutAccess {
        self.leader.scale_out_access(now, &zone.into())
    }

    /// Records that a machine was scaled out to probe whether a zone is up again, which delays the
    /// next probe.
    pub fn record_probe(&mut self, now: Micros, zone: &str) {
        self.leader.record_probe(now, &zone.into());
    }
}
