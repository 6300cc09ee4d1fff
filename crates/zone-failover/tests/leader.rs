//! Tests of the leader's state machine against a simulated store, and of the record that it
//! commits.
//!
//! Random histories of outages, changes of leader, unanswered commits and delayed messages check
//! that committed states never regress and finally match the actual states of the zones.

mod common;

use proptest::prelude::*;
use rockdeal_types::clock::Micros;
use rockdeal_types::ids::{Revision, ZoneId};
use std::collections::{BTreeMap, BTreeSet};
use zone_failover::evidence::{EvidenceTable, ZoneCounts, ZoneEvidence};
use zone_failover::health::ZoneState;
use zone_failover::leader::{Effect, Message, ScaleOutAccess, ZoneLeader};
use zone_failover::record::{RecordError, ZonesRecord};
use zone_failover::settings::{DeclaredState, Settings};
use zone_failover::view::ZoneView;

/// Simulated time between two evaluations.
const STEP: Micros = Micros::from_millis(500);
const ZONES: [&str; 3] = ["x", "y", "z"];

/// The evidence of one controller about all zones. All machines of the zones in `down`, which holds
/// indices of `ZONES`, are silent.
fn evidence(from: &str, sequence: u64, down: &BTreeSet<usize>) -> ZoneEvidence {
    let zones = ZONES.iter().enumerate().map(|(index, zone)| {
        let silent = if down.contains(&index) { 10 } else { 0 };
        ZoneCounts {
            zone: ZoneId::from(*zone),
            machines: 10,
            silent,
            peers: 0,
            silent_peers: 0,
            waiting: silent,
        }
    });
    ZoneEvidence {
        from: from.into(),
        incarnation: Revision(1),
        sequence,
        zones: zones.collect(),
    }
}

/// A simulated store that holds the leader's key and the record, and the controller that leads.
struct Simulation {
    now: Micros,
    settings: Settings,
    leader: ZoneLeader,
    /// The revision of the leader's key.
    leader_key: u64,
    /// The revision of the record.
    revision: u64,
    record: Option<ZonesRecord>,
    /// The sequence number of the newest evidence.
    sequence: u64,
    /// Indices of the zones that are down.
    down: BTreeSet<usize>,
    /// Unanswered commits, with the revisions of the leader's key and of the record on which they
    /// are conditional.
    delayed_writes: Vec<(u64, u64, ZonesRecord)>,
    /// Number of commits that were carried out.
    commits: u32,
}

impl Simulation {
    fn new(settings: Settings) -> Simulation {
        let zones = || ZONES.iter().map(|zone| ZoneId::from(*zone));
        let mut simulation = Simulation {
            now: Micros::from_millis(1_000),
            leader: ZoneLeader::new(settings.clone(), zones()),
            settings,
            leader_key: 0,
            revision: 0,
            record: None,
            sequence: 0,
            down: BTreeSet::new(),
            delayed_writes: Vec::new(),
            commits: 0,
        };
        simulation.change_leader();
        simulation
    }

    /// Replaces the leader by a new controller that knows only the record in the store.
    fn change_leader(&mut self) {
        self.leader_key += 1;
        let zones = ZONES.iter().map(|zone| ZoneId::from(*zone));
        self.leader = ZoneLeader::new(self.settings.clone(), zones);
        let message = Message::Leading {
            leader: Revision(self.leader_key),
            record: self.record.clone(),
        };
        self.leader.handle(self.now, self.now, message);
    }

    /// Carries out a conditional write in the store. Returns false if a condition does not hold.
    fn write(&mut self, leader_key: u64, revision: u64, record: ZonesRecord) -> bool {
        if leader_key != self.leader_key || revision != self.revision {
            return false;
        }
        if let Some(before) = &self.record {
            assert_no_regression(before, &record);
        }
        let lost = record
            .zones
            .values()
            .filter(|zone| zone.state == ZoneState::Lost);
        assert!(
            lost.count() < ZONES.len(),
            "every zone was committed as lost: {record:?}"
        );
        self.revision += 1;
        self.commits += 1;
        self.record = Some(record);
        true
    }

    /// Runs one evaluation. If `answered` is false, its commit is neither carried out nor answered.
    fn step(&mut self, answered: bool) {
        self.now = self.now + STEP;
        self.sequence += 1;
        let message = Message::Evidence(evidence("c0", self.sequence, &self.down));
        self.leader.handle(self.now, self.now, message);
        for Effect::Commit(record) in self.leader.handle(self.now, self.now, Message::Tick) {
            if !answered {
                self.delayed_writes
                    .push((self.leader_key, self.revision, record));
                continue;
            }
            let done = self.write(self.leader_key, self.revision, record);
            self.leader
                .handle(self.now, self.now, Message::Committed { done });
        }
    }

    /// Runs the evaluations of some seconds, all with answered commits.
    fn run_seconds(&mut self, seconds: u64) {
        for _ in 0..2 * seconds {
            self.step(true);
        }
    }

    /// The committed state of a zone.
    fn state(&self, zone: &str) -> ZoneState {
        let zones = self.record.as_ref().map(|record| &record.zones);
        zones
            .and_then(|zones| zones.get(zone))
            .map_or(ZoneState::Healthy, |zone| zone.state)
    }
}

/// Checks that a new record keeps every loss, that no epoch falls, and that no wave number falls
/// within one loss.
fn assert_no_regression(before: &ZonesRecord, after: &ZonesRecord) {
    for (id, old) in before.zones.iter().filter(|(_, old)| old.epoch > 0) {
        let new = after.zones.get(id);
        let new = new.unwrap_or_else(|| panic!("the loss of {id} is missing: {after:?}"));
        assert!(new.epoch >= old.epoch, "epoch fell: {old:?} {new:?}");
        let same_loss = new.epoch == old.epoch && new.state == old.state;
        assert!(
            !same_loss || new.wave >= old.wave,
            "wave fell: {old:?} {new:?}"
        );
    }
}

/// An event of a random history. The stored regressions name the variants.
#[derive(Debug, Clone)]
enum Event {
    /// The zone with this index goes down.
    Down(usize),
    /// The zone with this index comes up.
    Up(usize),
    /// This number of seconds passes.
    Pass(u64),
    /// Commits are not answered during this number of evaluations.
    Unanswered(u64),
    /// The store carries out all commits that were not answered.
    LateWrites,
    /// Another controller becomes the leader.
    LeaderChange,
    /// Evidence arrives that is older than the newest by this number of messages.
    LateEvidence(u64),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        (0..3_usize).prop_map(Event::Down),
        (0..3_usize).prop_map(Event::Up),
        (1..20_u64).prop_map(Event::Pass),
        (1..20_u64).prop_map(Event::Unanswered),
        Just(Event::LateWrites),
        Just(Event::LeaderChange),
        (1..50_u64).prop_map(Event::LateEvidence),
    ]
}

proptest! {
    #![proptest_config(common::cases(300))]

    /// Guards against committed states that regress, or never reach the actual states, after
    /// changes of leader, unanswered commits, late writes and delayed evidence.
    #[test]
    fn committed_states_never_regress_and_converge_to_actual_states(
        events in prop::collection::vec(event(), 1..60),
    ) {
        let mut simulation = Simulation::new(Settings::default());
        for event in events {
            match event {
                Event::Down(zone) => { simulation.down.insert(zone); }
                Event::Up(zone) => { simulation.down.remove(&zone); }
                Event::Pass(seconds) => simulation.run_seconds(seconds),
                Event::Unanswered(evaluations) => {
                    (0..evaluations).for_each(|_| simulation.step(false));
                }
                Event::LateWrites => {
                    let delayed_writes = std::mem::take(&mut simulation.delayed_writes);
                    for (leader_key, revision, record) in delayed_writes {
                        simulation.write(leader_key, revision, record);
                    }
                }
                Event::LeaderChange => simulation.change_leader(),
                Event::LateEvidence(ago) => {
                    let sequence = simulation.sequence.saturating_sub(ago);
                    let late = evidence("c0", sequence, &BTreeSet::from([0, 1]));
                    let now = simulation.now;
                    simulation.leader.handle(now, now, Message::Evidence(late));
                }
            }
        }
        // After all zones have been up for the longest probation, the record shows them healthy.
        simulation.down.clear();
        simulation.run_seconds(400);
        prop_assert!(
            ZONES.iter().all(|zone| simulation.state(zone) == ZoneState::Healthy),
            "a zone has not recovered: {:?}",
            simulation.record
        );
        // A zone that goes down is lost, because other zones can take its work.
        simulation.down.insert(1);
        simulation.run_seconds(15);
        prop_assert_eq!(simulation.state("y"), ZoneState::Lost);
    }
}

/// Guards against commits that write an unchanged record again and again.
#[test]
fn healthy_zones_cause_no_commit() {
    let mut simulation = Simulation::new(Settings::default());
    simulation.run_seconds(120);
    assert_eq!(simulation.commits, 0);
}

/// Guards against a leader that waits for ever for the answer to a lost commit, so that followers
/// never learn of the state. The random histories found this fault.
#[test]
fn unanswered_commit_is_requested_again() {
    let mut simulation = Simulation::new(Settings::default());
    simulation.down.insert(0);
    (0..20).for_each(|_| simulation.step(false));
    assert_eq!(simulation.state("x"), ZoneState::Healthy);
    simulation.run_seconds(8);
    assert_eq!(simulation.state("x"), ZoneState::Lost);
}

/// Guards against a new leader that forgets a loss, starts its waves anew, or starts the probation
/// anew, in which case frequent changes of leader would keep a zone out of use.
#[test]
fn new_leader_continues_from_committed_lost_and_probation_states() {
    let mut simulation = Simulation::new(Settings::default());
    simulation.down.insert(0);
    simulation.run_seconds(12);
    let epoch_and_wave = |simulation: &Simulation| {
        simulation
            .record
            .as_ref()
            .map(|record| (record.zones["x"].epoch, record.zones["x"].wave))
    };
    assert_eq!(simulation.state("x"), ZoneState::Lost);
    let (_, wave) = epoch_and_wave(&simulation).expect("a record");
    assert!(wave > 1, "further waves start while work waits");
    simulation.change_leader();
    simulation.run_seconds(4);
    assert_eq!(simulation.state("x"), ZoneState::Lost);
    assert!(epoch_and_wave(&simulation).expect("a record").1 >= wave);
    assert_eq!(
        simulation.record.as_ref().map(|record| record.leader),
        Some(Revision(2)),
        "the new leader commits the record again"
    );
    simulation.down.clear();
    simulation.run_seconds(5);
    assert_eq!(simulation.state("x"), ZoneState::Probation);
    // Six seconds under each of two leaders exceed the probation of ten seconds.
    simulation.change_leader();
    simulation.run_seconds(6);
    simulation.change_leader();
    simulation.run_seconds(6);
    assert_eq!(simulation.state("x"), ZoneState::Healthy);
}

/// Guards against evacuating all zones: at once, which is more likely a fault of the observers, or
/// one after the other until no zone is left.
#[test]
fn all_zones_are_never_lost_together() {
    let mut simulation = Simulation::new(Settings::default());
    simulation.down.extend([0, 1, 2]);
    simulation.run_seconds(60);
    assert_eq!(simulation.commits, 0);
    // If two zones are lost first, the third one is not lost when it goes down as well.
    simulation.down.remove(&2);
    simulation.run_seconds(20);
    simulation.down.insert(2);
    simulation.run_seconds(60);
    assert_eq!(simulation.state("x"), ZoneState::Lost);
    assert_ne!(simulation.state("z"), ZoneState::Lost);
}

/// Guards against evidence that overrides the state that an operator declares.
#[test]
fn declared_state_overrides_evidence() {
    let declare = |state| Settings {
        declared: BTreeMap::from([("x".into(), state)]),
        ..Settings::default()
    };
    let mut simulation = Simulation::new(declare(DeclaredState::Out));
    simulation.run_seconds(60);
    assert_eq!(
        simulation.state("x"),
        ZoneState::Lost,
        "a zone declared out is lost although all its machines are up"
    );
    assert_eq!(
        simulation
            .leader
            .scale_out_access(simulation.now, &"x".into()),
        ScaleOutAccess::Closed,
        "a zone declared out is not probed"
    );
    let mut simulation = Simulation::new(declare(DeclaredState::In));
    simulation.down.insert(0);
    simulation.run_seconds(60);
    assert_eq!(
        simulation.state("x"),
        ZoneState::Healthy,
        "a zone declared in is healthy although all its machines are silent"
    );
}

/// Guards against a zone that stays suspect or lost for ever: after all its machines have been
/// released, only a probe machine can provide evidence that it is up again.
#[test]
fn unhealthy_zone_without_machines_is_probed_one_machine_at_a_time() {
    for (seconds, state) in [(4, ZoneState::Suspect), (12, ZoneState::Lost)] {
        let mut simulation = Simulation::new(Settings::default());
        simulation.down.insert(0);
        simulation.run_seconds(seconds);
        assert_eq!(simulation.state("x"), state);
        let access = |simulation: &Simulation| {
            simulation
                .leader
                .scale_out_access(simulation.now, &"x".into())
        };
        assert_eq!(access(&simulation), ScaleOutAccess::Closed);
        // No controller has evidence about the zone, because it has no machine left.
        let run_without_evidence = |simulation: &mut Simulation| {
            simulation.sequence += 1;
            let mut without_zones = evidence("c0", simulation.sequence, &BTreeSet::new());
            without_zones.zones.clear();
            let now = simulation.now;
            simulation
                .leader
                .handle(now, now, Message::Evidence(without_zones));
            for _ in 0..150 {
                simulation.now = simulation.now + STEP;
                simulation
                    .leader
                    .handle(simulation.now, simulation.now, Message::Tick);
            }
        };
        run_without_evidence(&mut simulation);
        assert_eq!(access(&simulation), ScaleOutAccess::Probe);
        let now = simulation.now;
        simulation.leader.record_probe(now, &"x".into());
        assert_eq!(
            access(&simulation),
            ScaleOutAccess::Closed,
            "one probe at a time"
        );
        run_without_evidence(&mut simulation);
        assert_eq!(access(&simulation), ScaleOutAccess::Probe);
    }
}

/// Guards against a zone that has no machines when its probation ends, and against scale-outs long
/// before that.
#[test]
fn scale_out_opens_shortly_before_probation_ends() {
    let mut settings = Settings::default();
    settings.health.probation = Micros::from_millis(40_000);
    let mut simulation = Simulation::new(settings);
    simulation.down.insert(0);
    simulation.run_seconds(12);
    simulation.down.clear();
    simulation.run_seconds(5);
    let access = |simulation: &Simulation| {
        simulation
            .leader
            .scale_out_access(simulation.now, &"x".into())
    };
    assert_eq!(simulation.state("x"), ZoneState::Probation);
    assert_eq!(access(&simulation), ScaleOutAccess::Closed);
    simulation.run_seconds(20);
    assert_eq!(simulation.state("x"), ZoneState::Probation);
    assert_eq!(access(&simulation), ScaleOutAccess::Open);
}

/// Guards against delayed, duplicate or expired messages that count as current evidence.
#[test]
fn delayed_and_expired_evidence_is_ignored() {
    let mut table = EvidenceTable::default();
    let at = Micros::from_millis;
    let down = BTreeSet::from([0]);
    table.receive(at(0), evidence("c0", 5, &BTreeSet::new()));
    table.receive(at(100), evidence("c0", 4, &down));
    table.receive(at(100), evidence("c0", 5, &down));
    assert_eq!(table.observe(at(100))["x"].silent, 0);
    assert_eq!(table.outdated(), 2);
    table.receive(at(200), evidence("c1", 1, &down));
    assert_eq!(
        table.observe(at(200))["x"].machines,
        20,
        "machines of the partitions of both controllers"
    );
    assert_eq!(
        table.observe(at(3_100))["x"].machines,
        10,
        "the evidence of c0 has expired"
    );
    // The sequence numbers of a new incarnation start from one again.
    let restarted = ZoneEvidence {
        incarnation: Revision(2),
        ..evidence("c0", 1, &down)
    };
    table.receive(at(3_100), restarted);
    assert_eq!(table.observe(at(3_100))["x"].silent, 20);
}

/// Guards against a zone that stays lost for ever, because the next leader has zone failover
/// disabled and never replaces the record.
#[test]
fn record_of_former_leader_expires() {
    let mut simulation = Simulation::new(Settings::default());
    simulation.down.insert(0);
    simulation.run_seconds(12);
    let record = simulation.record.expect("a record");
    let at = Micros::from_millis;
    let mut view = ZoneView::default();
    let sync = |view: &mut ZoneView, now, leader| view.sync(now, Some(&record), leader);
    sync(&mut view, at(0), Some(record.leader));
    assert_eq!(view.state(at(0), &"x".into()), ZoneState::Lost);
    assert_eq!(
        view.state(at(900_000), &"x".into()),
        ZoneState::Lost,
        "the record counts while its leader leads"
    );
    sync(&mut view, at(900_000), None);
    assert_eq!(view.state(at(909_000), &"x".into()), ZoneState::Lost);
    sync(&mut view, at(909_000), Some(Revision(99)));
    assert_eq!(
        view.state(at(910_000), &"x".into()),
        ZoneState::Healthy,
        "the next leader has not replaced the record"
    );
}

/// Guards against malformed records, or records of a newer version, that are partly used.
#[test]
fn malformed_or_newer_record_is_rejected() {
    let read = |text: &str| ZonesRecord::read(&serde_json::from_str(text).expect("valid JSON"));
    let newer = r#"{"version": 2, "zones": "quite different"}"#;
    assert_eq!(read(newer), Err(RecordError::Newer(2)));
    for malformed in [
        "null",
        "7",
        "{}",
        r#"{"version": 1, "leader": 4, "zones": {"x": {"state": "ill"}}}"#,
    ] {
        assert!(
            matches!(read(malformed), Err(RecordError::Malformed(_))),
            "{malformed}"
        );
    }
}
