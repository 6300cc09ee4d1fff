//! Histories of one zone: when it is lost, when it is back, and how often it may go to and fro.

mod common;

use proptest::prelude::*;
use rockdeal_types::clock::Micros;
use zone_failover::health::{Condition, ZoneHealth, ZoneObservation, ZoneState};
use zone_failover::settings::HealthSettings;

const STEP: Micros = Micros::from_millis(500);

fn observation(machines: u32, silent: u32, peers: u32, silent_peers: u32) -> ZoneObservation {
    ZoneObservation {
        machines,
        silent,
        peers,
        silent_peers,
        waiting: 0,
    }
}

#[test]
fn machines_tell_and_where_there_are_few_the_controllers_must_agree() {
    let settings = HealthSettings::default();
    let condition = |m, s, p, sp| observation(m, s, p, sp).condition(&settings);
    assert_eq!(
        condition(0, 0, 1, 1),
        Condition::Unknown,
        "peers alone say nothing"
    );
    assert_eq!(condition(10, 8, 0, 0), Condition::Down);
    assert_eq!(condition(10, 5, 1, 1), Condition::Partial, "half of a zone");
    assert_eq!(condition(10, 3, 0, 0), Condition::Up);
    assert_eq!(condition(2, 2, 1, 1), Condition::Down);
    assert_eq!(condition(2, 2, 1, 0), Condition::Unknown);
    assert_eq!(condition(2, 2, 0, 0), Condition::Unknown);
    assert_eq!(condition(1, 0, 0, 0), Condition::Up);
}

/// What happened to a zone in a history of looks.
#[derive(Default)]
struct Story {
    losses: u32,
    returns: u32,
    /// Of each return to health, the probation that it had to pass and that it passed.
    probations: Vec<(Micros, Micros)>,
    states: Vec<ZoneState>,
}

fn play(conditions: &[Condition], settings: &HealthSettings) -> Story {
    let mut health = ZoneHealth::default();
    let mut story = Story::default();
    let mut on_probation = Micros::ZERO;
    let mut epoch = 0;
    for condition in conditions {
        let required = health.probation(settings);
        if health.state() == ZoneState::Probation {
            on_probation = on_probation + STEP;
        }
        let transition = health.observe(STEP, *condition, true, settings);
        match transition.map(|t| (t.from, t.to)) {
            Some((_, ZoneState::Lost)) => {
                story.losses += 1;
                epoch += 1;
            }
            Some((_, ZoneState::Probation)) => on_probation = Micros::ZERO,
            Some((ZoneState::Probation, ZoneState::Healthy)) => {
                story.returns += 1;
                story.probations.push((required, on_probation));
            }
            _ => {}
        }
        assert_eq!(health.epoch(), epoch, "one epoch for each loss");
        story.states.push(health.state());
    }
    story
}

fn conditions() -> impl Strategy<Value = Vec<Condition>> {
    let stretch = (
        prop_oneof![
            Just(Condition::Up),
            Just(Condition::Down),
            Just(Condition::Partial),
            Just(Condition::Unknown),
        ],
        1..80_usize,
    );
    prop::collection::vec(stretch, 1..40)
        .prop_map(|all| all.into_iter().flat_map(|(c, n)| vec![c; n]).collect())
}

proptest! {
    #![proptest_config(common::cases(400))]

    /// No oscillation beyond the damping bound: each return needs its whole probation in
    /// one piece, and one return's probation is never shorter than the first's.
    #[test]
    fn each_return_passes_its_whole_probation(history in conditions()) {
        let settings = HealthSettings::default();
        let story = play(&history, &settings);
        prop_assert!(story.returns <= story.losses);
        for (required, passed) in &story.probations {
            prop_assert!(passed >= required && *required >= settings.probation, "{passed:?} of {required:?}");
        }
    }

    /// A zone that is up at least half of the time, in every stretch from the start, is
    /// never lost, however fast it flaps.
    #[test]
    fn a_zone_that_is_up_half_of_the_time_is_never_lost(downs in prop::collection::vec(1..8_usize, 1..60)) {
        // Each spell down is shorter than `lost_after` and is followed by one as long.
        let mut history = Vec::new();
        for spell in downs {
            let spell = spell.min(7);
            history.extend(vec![Condition::Down; spell]);
            history.extend(vec![Condition::Up; spell]);
        }
        prop_assert_eq!(play(&history, &HealthSettings::default()).losses, 0);
    }

    /// Without a single look that says down nothing is ever suspect.
    #[test]
    fn only_silence_makes_a_zone_suspect(history in conditions()) {
        let continuous_uptime: Vec<Condition> = history.into_iter().filter(|c| *c != Condition::Down).collect();
        let story = play(&continuous_uptime, &HealthSettings::default());
        prop_assert!(story.states.iter().all(|s| *s == ZoneState::Healthy));
    }
}

#[test]
fn every_relapse_doubles_the_probation_up_to_a_bound_and_quiet_time_shortens_it() {
    let settings = HealthSettings {
        max_probation: Micros::from_millis(40_000),
        ..HealthSettings::default()
    };
    let mut health = ZoneHealth::default();
    let mut lengths = Vec::new();
    let mut pass = |condition, steps: usize, until: ZoneState| {
        for _ in 0..steps {
            health.observe(STEP, condition, true, &settings);
            if health.state() == until {
                break;
            }
        }
        assert_eq!(health.state(), until);
        (health.relapses(), health.probation(&settings))
    };
    for _ in 0..4 {
        pass(Condition::Down, 100, ZoneState::Lost);
        lengths.push(pass(Condition::Up, 100, ZoneState::Probation).1.as_secs());
        pass(Condition::Up, 100, ZoneState::Healthy);
    }
    assert_eq!(lengths, [10.0, 20.0, 40.0, 40.0]);
    let steps = (3 * settings.quiet.0 / STEP.0) as usize;
    for _ in 0..steps {
        health.observe(STEP, Condition::Up, true, &settings);
    }
    assert_eq!(health.relapses(), 1);
}

#[test]
fn a_relapse_on_probation_is_a_loss_at_once() {
    let settings = HealthSettings::default();
    let mut health = ZoneHealth::resume(ZoneState::Probation, 3, 1, Micros::ZERO);
    health.observe(STEP, Condition::Down, true, &settings);
    health.observe(STEP, Condition::Down, true, &settings);
    assert_eq!(
        (health.state(), health.epoch(), health.relapses()),
        (ZoneState::Lost, 4, 2)
    );
}

#[test]
fn a_zone_of_which_half_is_back_is_not_back() {
    let settings = HealthSettings::default();
    let mut health = ZoneHealth::resume(ZoneState::Lost, 1, 1, Micros::ZERO);
    for _ in 0..40 {
        for condition in [Condition::Up, Condition::Up, Condition::Partial] {
            health.observe(STEP, condition, true, &settings);
        }
    }
    assert_eq!(health.state(), ZoneState::Lost);
}

#[test]
fn without_another_zone_it_stays_suspect() {
    let settings = HealthSettings::default();
    let mut health = ZoneHealth::default();
    for _ in 0..100 {
        health.observe(STEP, Condition::Down, false, &settings);
    }
    assert_eq!(health.state(), ZoneState::Suspect);
}

/// Guards against a leader that stood still and takes one look for a long time.
#[test]
fn one_look_counts_for_two_seconds_at_most() {
    let mut health = ZoneHealth::default();
    let minute = Micros::from_millis(60_000);
    let settings = HealthSettings::default();
    health.observe(minute, Condition::Down, true, &settings);
    health.observe(STEP, Condition::Down, true, &settings);
    assert_eq!(
        health.state(),
        ZoneState::Suspect,
        "2.5 s of the 4 that it takes"
    );
}
