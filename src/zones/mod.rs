//! Zone failover in a controller: what it observes of the zones, what it reads and commits of
//! their states, and what placement and the autoscaler have to know.
//!
//! The decisions are in the package `zone-failover`; this slice feeds it and carries out
//! what it says.

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

/// The checked settings of zone failover.
#[derive(Debug)]
pub struct ZoneFailoverConfig {
    /// Of the package.
    pub settings: zone_failover::settings::Settings,
    /// The order of evacuation.
    pub order: EvacuationOrder,
}

/// The states of the zones, as placement and the partitions' owners may rely on them.
#[derive(Debug, PartialEq)]
pub struct ZoneSituation {
    /// Zones that are not healthy.
    pub troubled: BTreeMap<ZoneId, ZoneRecord>,
    /// Zones that were lost and are healthy again.
    pub returned: BTreeMap<ZoneId, ZoneRecord>,
    /// A job that has waited for so long may use any machine whose heartbeats arrive.
    pub patience: Micros,
}

impl ZoneSituation {
    /// No zone was ever in trouble.
    pub fn healthy(config: &ZoneFailoverConfig) -> Self {
        ZoneSituation {
            troubled: BTreeMap::new(),
            returned: BTreeMap::new(),
            patience: config.settings.health.patience,
        }
    }

    /// The state of a zone.
    pub fn state(&self, zone: &str) -> ZoneState {
        self.troubled
            .get(zone)
            .map_or(ZoneState::Healthy, |zone| zone.state)
    }

    /// Zones that are lost.
    pub fn lost(&self) -> BTreeMap<ZoneId, ZoneRecord> {
        let lost = self
            .troubled
            .iter()
            .filter(|(_, zone)| zone.state == ZoneState::Lost);
        lost.map(|(id, zone)| (id.clone(), zone.clone())).collect()
    }

    /// Whether new work of a job stays out of a zone. Never for good: work that can go
    /// nowhere else, or has waited for long, uses the machines there whose heartbeats arrive.
    pub fn closed_to(&self, job: &JobDesc, waited: Micros, zone: &str) -> bool {
        let avoided = matches!(self.state(zone), ZoneState::Lost | ZoneState::Probation);
        let bound = job.zone.as_deref() == Some(zone);
        avoided && !bound && waited < self.patience
    }
}

/// How often the view is evaluated without a change: the record of a leader that has lost
/// its leadership counts for a while only.
const REFRESH_INTERVAL: Micros = Micros::from_millis(500);

/// Zone failover in one controller.
#[derive(Debug)]
pub struct ZoneFailover {
    /// The checked settings.
    pub config: Rc<ZoneFailoverConfig>,
    label: Label,
    leader: ZoneLeader,
    view: ZoneView,
    /// The record as it was last read, with its revision.
    record: Option<ZonesRecord>,
    record_revision: Revision,
    /// A newer version wrote the record: it is left as it is.
    is_newer: bool,
    /// Records that could not be read so far.
    unreadable: u64,
    sequence: u64,
    situation: Rc<ZoneSituation>,
    last_refresh: Micros,
}

impl ZoneFailover {
    /// With nothing known of any zone.
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
            is_newer: false,
            unreadable: 0,
            sequence: 0,
            situation: Rc::new(situation),
            last_refresh: Micros::ZERO,
        }
    }

    /// The states of the zones.
    pub fn situation(&self) -> &Rc<ZoneSituation> {
        &self.situation
    }

    /// Takes in what was read of the store.
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
            self.is_newer = false;
            self.record = value.and_then(|value| match ZonesRecord::read(value) {
                Ok(record) => Some(record),
                Err(error) => {
                    self.is_newer = matches!(error, RecordError::Newer(_));
                    self.unreadable += 1;
                    tracing::error!(%error, unreadable = self.unreadable, "zone record unreadable");
                    None
                }
            });
        }
        let leader = cache.leader.as_ref().map(|versioned| versioned.revision);
        self.view.sync(now, self.record.as_ref(), leader);
        self.refresh(now);
    }

    /// Evaluates the view again, since time alone changes it, too.
    pub fn refresh_if_due(&mut self, now: Micros, cache: &WatchCache) {
        if now.since(self.last_refresh) >= REFRESH_INTERVAL {
            self.sync(now, cache);
        }
    }

    fn refresh(&mut self, now: Micros) {
        self.last_refresh = now;
        let situation = ZoneSituation {
            troubled: self.view.unhealthy(now),
            returned: self.view.recovered(now),
            patience: self.situation.patience,
        };
        if situation != *self.situation {
            self.situation = Rc::new(situation);
        }
    }

    /// Records a peer's evidence.
    pub fn record_evidence(&mut self, now: Micros, evidence: ZoneEvidence) {
        self.leader
            .handle(now, Micros::ZERO, Message::Evidence(evidence));
    }

    /// What this controller sees, for its peers and for itself.
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

    /// This controller does not lead.
    pub fn stop_leading(&mut self, now: Micros) {
        self.leader.handle(now, Micros::ZERO, Message::Following);
    }

    /// This controller leads: what is to be committed now, if anything.
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
        if self.is_newer {
            // Guards against an older version that takes back what a newer one committed.
            self.leader
                .handle(now, wall_clock, Message::Committed { done: false });
            return None;
        }
        // Conditional on the leader's key, so a leader that has been replaced is refused.
        let compares = vec![
            leader.clone(),
            Compare::new(keys::ZONES.into(), self.record_revision),
        ];
        Some((compares, vec![Mutation::put(keys::ZONES.into(), &record)]))
    }

    /// The store has answered a commit.
    pub fn handle_commit_reply(&mut self, now: Micros, reply: &Reply) {
        // One without an answer is retried: the same record does no harm twice.
        let done = matches!(reply, Reply::Committed(_));
        self.leader
            .handle(now, Micros::ZERO, Message::Committed { done });
    }

    /// Whether machines may be scaled out in a zone.
    pub fn scale_out_access(&self, now: Micros, zone: &str) -> ScaleOutAccess {
        self.leader.scale_out_access(now, &zone.into())
    }

    /// A machine was scaled out to see whether a zone is back.
    pub fn record_probe(&mut self, now: Micros, zone: &str) {
        self.leader.record_probe(now, &zone.into());
    }
}
