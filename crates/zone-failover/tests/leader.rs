//! Leaders that come and go over one store, in random histories: what is committed never
//! goes back, and in the end says what is.

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

const STEP: Micros = Micros::from_millis(500);
const ZONES: [&str; 3] = ["x", "y", "z"];

fn evidence(from: &str, sequence: u64, down: &BTreeSet<usize>) -> ZoneEvidence {
    let zones = ZONES.iter().enumerate().map(|(n, zone)| {
        let silent = if down.contains(&n) { 10 } else { 0 };
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

/// A store with the leader's key and the record, and one controller that leads.
struct World {
    now: Micros,
    settings: Settings,
    leader: ZoneLeader,
    leader_key: u64,
    revision: u64,
    record: Option<ZonesRecord>,
    sequence: u64,
    down: BTreeSet<usize>,
    /// Commits that had no answer, with the leader's key and record that they depend on.
    late: Vec<(u64, u64, ZonesRecord)>,
    commits: u32,
}

impl World {
    fn new(settings: Settings) -> World {
        let zones = || ZONES.iter().map(|z| ZoneId::from(*z));
        let mut world = World {
            now: Micros::from_millis(1_000),
            leader: ZoneLeader::new(settings.clone(), zones()),
            settings,
            leader_key: 0,
            revision: 0,
            record: None,
            sequence: 0,
            down: BTreeSet::new(),
            late: Vec::new(),
            commits: 0,
        };
        world.change_leader();
        world
    }

    /// The leader is gone at once, and another one, that knows nothing, begins to lead.
    fn change_leader(&mut self) {
        self.leader_key += 1;
        let zones = ZONES.iter().map(|z| ZoneId::from(*z));
        self.leader = ZoneLeader::new(self.settings.clone(), zones);
        let message = Message::Leading {
            leader: Revision(self.leader_key),
            record: self.record.clone(),
        };
        self.leader.handle(self.now, self.now, message);
    }

    /// A conditional write, as the store carries it out.
    fn write(&mut self, leader_key: u64, revision: u64, record: ZonesRecord) -> bool {
        if leader_key != self.leader_key || revision != self.revision {
            return false;
        }
        if let Some(before) = &self.record {
            check_progress(before, &record);
        }
        let all_lost = record.zones.values().filter(|z| z.state == ZoneState::Lost);
        assert!(
            all_lost.count() < ZONES.len(),
            "every zone is lost: {record:?}"
        );
        self.revision += 1;
        self.commits += 1;
        self.record = Some(record);
        true
    }

    fn step(&mut self, answered: bool) {
        self.now = self.now + STEP;
        self.sequence += 1;
        let message = Message::Evidence(evidence("c0", self.sequence, &self.down));
        self.leader.handle(self.now, self.now, message);
        for Effect::Commit(record) in self.leader.handle(self.now, self.now, Message::Tick) {
            if !answered {
                self.late.push((self.leader_key, self.revision, record));
                continue;
            }
            let done = self.write(self.leader_key, self.revision, record);
            self.leader
                .handle(self.now, self.now, Message::Committed { done });
        }
    }

    fn pass(&mut self, seconds: u64) {
        for _ in 0..2 * seconds {
            self.step(true);
        }
    }

    fn state(&self, zone: &str) -> ZoneState {
        let zones = self.record.as_ref().map(|r| &r.zones);
        zones
            .and_then(|z| z.get(zone))
            .map_or(ZoneState::Healthy, |z| z.state)
    }
}

/// A loss is never forgotten, epochs never fall, and waves not within one.
fn check_progress(before: &ZonesRecord, after: &ZonesRecord) {
    for (id, old) in before.zones.iter().filter(|(_, old)| old.epoch > 0) {
        let new = after.zones.get(id);
        let new = new.unwrap_or_else(|| panic!("{id} is forgotten: {after:?}"));
        assert!(new.epoch >= old.epoch, "{old:?} {new:?}");
        let same_loss = new.epoch == old.epoch && new.state == old.state;
        assert!(!same_loss || new.wave >= old.wave, "{old:?} {new:?}");
    }
}

#[derive(Debug, Clone)]
enum Event {
    Down(usize),
    Up(usize),
    Pass(u64),
    /// Commits get no answer for so many looks.
    Unanswered(u64),
    /// Those commits are carried out now.
    LateWrites,
    LeaderChange,
    /// An old message comes again.
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

    #[test]
    fn what_is_committed_never_goes_back_and_in_the_end_says_what_is(
        events in prop::collection::vec(event(), 1..60),
    ) {
        let mut world = World::new(Settings::default());
        for event in events {
            match event {
                Event::Down(zone) => { world.down.insert(zone); }
                Event::Up(zone) => { world.down.remove(&zone); }
                Event::Pass(seconds) => world.pass(seconds),
                Event::Unanswered(looks) => (0..looks).for_each(|_| world.step(false)),
                Event::LateWrites => {
                    for (leader_key, revision, record) in std::mem::take(&mut world.late) {
                        world.write(leader_key, revision, record);
                    }
                }
                Event::LeaderChange => world.change_leader(),
                Event::LateEvidence(ago) => {
                    let late = evidence("c0", world.sequence.saturating_sub(ago), &BTreeSet::from([0, 1]));
                    world.leader.handle(world.now, world.now, Message::Evidence(late));
                }
            }
        }
        // Everything is back: so is the record, after the longest probation.
        world.down.clear();
        world.pass(400);
        prop_assert!(ZONES.iter().all(|z| world.state(z) == ZoneState::Healthy), "{:?}", world.record);
        // And what is down is lost, as long as another zone could take the work.
        world.down.insert(1);
        world.pass(15);
        prop_assert_eq!(world.state("y"), ZoneState::Lost);
    }
}

#[test]
fn nothing_is_committed_while_nothing_happens() {
    let mut world = World::new(Settings::default());
    world.pass(120);
    assert_eq!(world.commits, 0);
}

/// Found by the random histories: the state was never asked for again.
#[test]
fn a_commit_without_an_answer_is_asked_for_again() {
    let mut world = World::new(Settings::default());
    world.down.insert(0);
    (0..20).for_each(|_| world.step(false));
    assert_eq!(world.state("x"), ZoneState::Healthy);
    world.pass(8);
    assert_eq!(world.state("x"), ZoneState::Lost);
}

#[test]
fn a_change_of_leader_goes_on_from_the_record_in_each_state() {
    let mut world = World::new(Settings::default());
    world.down.insert(0);
    world.pass(12);
    let epoch = |w: &World| {
        w.record
            .as_ref()
            .map(|r| (r.zones["x"].epoch, r.zones["x"].wave))
    };
    assert_eq!(world.state("x"), ZoneState::Lost);
    let (_, wave) = epoch(&world).expect("recorded");
    assert!(wave > 1, "waves go on while something waits");
    world.change_leader();
    world.pass(4);
    assert_eq!(world.state("x"), ZoneState::Lost);
    assert!(epoch(&world).expect("recorded").1 >= wave);
    assert_eq!(
        world.record.as_ref().map(|r| r.leader),
        Some(Revision(2)),
        "the new leader stands by it"
    );
    world.down.clear();
    world.pass(5);
    assert_eq!(world.state("x"), ZoneState::Probation);
    // Six seconds under each of two leaders are more than the ten of the probation.
    world.change_leader();
    world.pass(6);
    world.change_leader();
    world.pass(6);
    assert_eq!(world.state("x"), ZoneState::Healthy);
}

#[test]
fn all_zones_at_once_are_a_fault_of_the_observers() {
    let mut world = World::new(Settings::default());
    world.down.extend([0, 1, 2]);
    world.pass(60);
    assert_eq!(world.commits, 0);
    // One after the other, the last one stays.
    world.down.remove(&2);
    world.pass(20);
    world.down.insert(2);
    world.pass(60);
    assert_eq!(world.state("x"), ZoneState::Lost);
    assert_ne!(world.state("z"), ZoneState::Lost);
}

#[test]
fn an_operators_word_wins_over_the_evidence() {
    let declare = |state| Settings {
        declared: BTreeMap::from([("x".into(), state)]),
        ..Settings::default()
    };
    let mut world = World::new(declare(DeclaredState::Out));
    world.pass(60);
    assert_eq!(
        world.state("x"),
        ZoneState::Lost,
        "though all its machines are heard"
    );
    assert_eq!(
        world.leader.scale_out_access(world.now, &"x".into()),
        ScaleOutAccess::Closed,
        "no probe"
    );
    let mut world = World::new(declare(DeclaredState::In));
    world.down.insert(0);
    world.pass(60);
    assert_eq!(world.state("x"), ZoneState::Healthy, "though none is heard");
}

#[test]
fn a_troubled_zone_without_any_machine_is_probed_now_and_then() {
    for (seconds, state) in [(4, ZoneState::Suspect), (12, ZoneState::Lost)] {
        let mut world = World::new(Settings::default());
        world.down.insert(0);
        world.pass(seconds);
        assert_eq!(world.state("x"), state);
        let access = |w: &World| w.leader.scale_out_access(w.now, &"x".into());
        assert_eq!(access(&world), ScaleOutAccess::Closed);
        // All its machines are lost: nobody has evidence about it.
        let silent = |world: &mut World| {
            world.sequence += 1;
            let mut nothing = evidence("c0", world.sequence, &BTreeSet::new());
            nothing.zones.clear();
            let now = world.now;
            world.leader.handle(now, now, Message::Evidence(nothing));
            for _ in 0..150 {
                world.now = world.now + STEP;
                world.leader.handle(world.now, world.now, Message::Tick);
            }
        };
        silent(&mut world);
        assert_eq!(access(&world), ScaleOutAccess::Probe);
        let now = world.now;
        world.leader.record_probe(now, &"x".into());
        assert_eq!(access(&world), ScaleOutAccess::Closed, "one at a time");
        silent(&mut world);
        assert_eq!(access(&world), ScaleOutAccess::Probe);
    }
}

#[test]
fn machines_are_rented_before_a_probation_ends_and_no_sooner() {
    let mut settings = Settings::default();
    settings.health.probation = Micros::from_millis(40_000);
    let mut world = World::new(settings);
    world.down.insert(0);
    world.pass(12);
    world.down.clear();
    world.pass(5);
    let access = |w: &World| w.leader.scale_out_access(w.now, &"x".into());
    assert_eq!(world.state("x"), ZoneState::Probation);
    assert_eq!(access(&world), ScaleOutAccess::Closed);
    world.pass(20);
    assert_eq!(world.state("x"), ZoneState::Probation);
    assert_eq!(access(&world), ScaleOutAccess::Open);
}

#[test]
fn late_copies_and_stale_evidence_say_nothing() {
    let mut table = EvidenceTable::default();
    let at = Micros::from_millis;
    let down = BTreeSet::from([0]);
    table.receive(at(0), evidence("c0", 5, &BTreeSet::new()));
    table.receive(at(100), evidence("c0", 4, &down));
    table.receive(at(100), evidence("c0", 5, &down));
    assert_eq!(table.observe(at(100))["x"].silent, 0);
    assert_eq!(table.outdated(), 2);
    table.receive(at(200), evidence("c1", 1, &down));
    assert_eq!(table.observe(at(200))["x"].machines, 20, "blocks of both");
    assert_eq!(
        table.observe(at(3_100))["x"].machines,
        10,
        "c0 is not heard any more"
    );
    // A new incarnation counts from one again.
    let restarted = ZoneEvidence {
        incarnation: Revision(2),
        ..evidence("c0", 1, &down)
    };
    table.receive(at(3_100), restarted);
    assert_eq!(table.observe(at(3_100))["x"].silent, 20);
}

#[test]
fn the_record_of_a_leader_that_is_gone_counts_for_a_while_only() {
    let mut world = World::new(Settings::default());
    world.down.insert(0);
    world.pass(12);
    let record = world.record.expect("recorded");
    let at = Micros::from_millis;
    let mut view = ZoneView::default();
    let sync = |view: &mut ZoneView, now, leader| view.sync(now, Some(&record), leader);
    sync(&mut view, at(0), Some(record.leader));
    assert_eq!(view.state(at(0), &"x".into()), ZoneState::Lost);
    assert_eq!(
        view.state(at(900_000), &"x".into()),
        ZoneState::Lost,
        "as long as it leads"
    );
    sync(&mut view, at(900_000), None);
    assert_eq!(view.state(at(909_000), &"x".into()), ZoneState::Lost);
    sync(&mut view, at(909_000), Some(Revision(99)));
    assert_eq!(
        view.state(at(910_000), &"x".into()),
        ZoneState::Healthy,
        "a leader that never takes it back"
    );
}

#[test]
fn a_record_that_cannot_be_read_is_no_opinion() {
    let read = |text: &str| ZonesRecord::read(&serde_json::from_str(text).expect("JSON"));
    let newer = r#"{"version": 2, "zones": "quite different"}"#;
    assert_eq!(read(newer), Err(RecordError::Newer(2)));
    for damaged in [
        "null",
        "7",
        "{}",
        r#"{"version": 1, "leader": 4, "zones": {"x": {"state": "ill"}}}"#,
    ] {
        assert!(
            matches!(read(damaged), Err(RecordError::Malformed(_))),
            "{damaged}"
        );
    }
}
