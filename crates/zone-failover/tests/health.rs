//! Tests of the state machine of zone health: when a zone is lost, when it recovers, and how
//! flapping is damped. Random histories of conditions check the limits of flapping.

mod common;

use proptest::prelude::*;
use rockdeal_types::clock::Micros;
use zone_failover::health::{Condition, ZoneHealth, ZoneObservation, ZoneState};
use zone_failover::settings::HealthSettings;

/// Time between two evaluations.
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

/// Guards against taking the failure of a few machines for the loss of a zone: with fewer than
/// three machines, the controllers of the zone must be silent as well.
#[test]
fn condition_follows_silent_share_and_small_zones_need_silent_controllers() {
    let settings = HealthSettings::default();
    let condition = |machines, silent, peers, silent_peers| {
        observation(machines, silent, peers, silent_peers).condition(&settings)
    };
    assert_eq!(
        condition(0, 0, 1, 1),
        Condition::Unknown,
        "silent controllers alone are not sufficient evidence"
    );
    assert_eq!(condition(10, 8, 0, 0), Condition::Down);
    assert_eq!(
        condition(10, 5, 1, 1),
        Condition::Partial,
        "half of the machines are silent"
    );
    assert_eq!(condition(10, 3, 0, 0), Condition::Up);
    assert_eq!(condition(2, 2, 1, 1), Condition::Down);
    assert_eq!(condition(2, 2, 1, 0), Condition::Unknown);
    assert_eq!(condition(2, 2, 0, 0), Condition::Unknown);
    assert_eq!(condition(1, 0, 0, 0), Condition::Up);
}

/// The changes of state in a history of evaluations.
#[derive(Default)]
struct ReplayOutcome {
    losses: u32,
    recoveries: u32,
    /// Required and actual length of the probation before each recovery.
    probations: Vec<(Micros, Micros)>,
    /// The state after each evaluation.
    states: Vec<ZoneState>,
}

/// Evaluates a history of conditions, one for each step, for a zone that is healthy at first.
fn replay(conditions: &[Condition], settings: &HealthSettings) -> ReplayOutcome {
    let mut health = ZoneHealth::default();
    let mut outcome = ReplayOutcome::default();
    let mut on_probation = Micros::ZERO;
    let mut epoch = 0;
    for condition in conditions {
        let required = health.probation(settings);
        if health.state() == ZoneState::Probation {
            on_probation = on_probation + STEP;
        }
        let transition = health.observe(STEP, *condition, true, settings);
        match transition.map(|transition| (transition.from, transition.to)) {
            Some((_, ZoneState::Lost)) => {
                outcome.losses += 1;
                epoch += 1;
            }
            Some((_, ZoneState::Probation)) => on_probation = Micros::ZERO,
            Some((ZoneState::Probation, ZoneState::Healthy)) => {
                outcome.recoveries += 1;
                outcome.probations.push((required, on_probation));
            }
            _ => {}
        }
        assert_eq!(
            health.epoch(),
            epoch,
            "every loss must raise the epoch by one"
        );
        outcome.states.push(health.state());
    }
    outcome
}

/// Random histories: up to 39 periods of 1 to 79 steps in which the condition stays the same.
fn conditions() -> impl Strategy<Value = Vec<Condition>> {
    let period = (
        prop_oneof![
            Just(Condition::Up),
            Just(Condition::Down),
            Just(Condition::Partial),
            Just(Condition::Unknown),
        ],
        1..80_usize,
    );
    prop::collection::vec(period, 1..40).prop_map(|periods| {
        periods
            .into_iter()
            .flat_map(|(condition, steps)| vec![condition; steps])
            .collect()
    })
}

proptest! {
    #![proptest_config(common::cases(400))]

    /// Guards against oscillation faster than the damping allows: every recovery requires a
    /// complete probation without a break, which is never shorter than the configured one.
    #[test]
    fn every_recovery_completes_its_whole_probation(history in conditions()) {
        let settings = HealthSettings::default();
        let outcome = replay(&history, &settings);
        prop_assert!(outcome.recoveries <= outcome.losses);
        for (required, actual) in &outcome.probations {
            prop_assert!(
                actual >= required && *required >= settings.probation,
                "probation of {actual:?}, required {required:?}"
            );
        }
    }

    /// Guards against losing a zone that flaps, but recovers from every short outage for at least
    /// as long as the outage lasted.
    #[test]
    fn zone_up_as_long_as_each_short_outage_is_never_lost(
        outages in prop::collection::vec(1..8_usize, 1..60),
    ) {
        // Each outage is shorter than `lost_after` and is followed by as much time up.
        let mut history = Vec::new();
        for steps in outages {
            let steps = steps.min(7);
            history.extend(vec![Condition::Down; steps]);
            history.extend(vec![Condition::Up; steps]);
        }
        prop_assert_eq!(replay(&history, &HealthSettings::default()).losses, 0);
    }

    /// Guards against missing or partial evidence that makes a zone suspect.
    #[test]
    fn zone_never_observed_down_stays_healthy(history in conditions()) {
        let without_outages: Vec<Condition> = history
            .into_iter()
            .filter(|condition| *condition != Condition::Down)
            .collect();
        let outcome = replay(&without_outages, &HealthSettings::default());
        prop_assert!(outcome.states.iter().all(|state| *state == ZoneState::Healthy));
    }
}

/// Guards against a zone that fails again and again and is trusted after the same short probation
/// each time, and against losses that lengthen the probation for ever.
#[test]
fn each_loss_doubles_probation_up_to_maximum_and_quiet_time_reduces_relapses() {
    let settings = HealthSettings {
        max_probation: Micros::from_millis(40_000),
        ..HealthSettings::default()
    };
    let mut health = ZoneHealth::default();
    let mut probations_s = Vec::new();
    let mut run_until = |condition, max_steps: usize, expected: ZoneState| {
        for _ in 0..max_steps {
            health.observe(STEP, condition, true, &settings);
            if health.state() == expected {
                break;
            }
        }
        assert_eq!(health.state(), expected);
        (health.relapses(), health.probation(&settings))
    };
    for _ in 0..4 {
        run_until(Condition::Down, 100, ZoneState::Lost);
        probations_s.push(
            run_until(Condition::Up, 100, ZoneState::Probation)
                .1
                .as_secs(),
        );
        run_until(Condition::Up, 100, ZoneState::Healthy);
    }
    assert_eq!(probations_s, [10.0, 20.0, 40.0, 40.0]);
    let steps = (3 * settings.quiet.0 / STEP.0) as usize;
    for _ in 0..steps {
        health.observe(STEP, Condition::Up, true, &settings);
    }
    assert_eq!(health.relapses(), 1);
}

/// Guards against a relapse on probation that has to last for the longer `lost_after` again before
/// the zone is evacuated.
#[test]
fn outage_on_probation_causes_loss_after_suspect_after() {
    let settings = HealthSettings::default();
    let mut health = ZoneHealth::resume(ZoneState::Probation, 3, 1, Micros::ZERO);
    health.observe(STEP, Condition::Down, true, &settings);
    health.observe(STEP, Condition::Down, true, &settings);
    assert_eq!(
        (health.state(), health.epoch(), health.relapses()),
        (ZoneState::Lost, 4, 2)
    );
}

/// Guards against a probation that begins although part of the zone is repeatedly down.
#[test]
fn partly_up_zone_stays_lost() {
    let settings = HealthSettings::default();
    let mut health = ZoneHealth::resume(ZoneState::Lost, 1, 1, Micros::ZERO);
    for _ in 0..40 {
        for condition in [Condition::Up, Condition::Up, Condition::Partial] {
            health.observe(STEP, condition, true, &settings);
        }
    }
    assert_eq!(health.state(), ZoneState::Lost);
}

/// Guards against evacuating a zone while no other zone can take its work.
#[test]
fn zone_stays_suspect_while_no_other_zone_can_take_its_work() {
    let settings = HealthSettings::default();
    let mut health = ZoneHealth::default();
    for _ in 0..100 {
        health.observe(STEP, Condition::Down, false, &settings);
    }
    assert_eq!(health.state(), ZoneState::Suspect);
}

/// Guards against a leader that was paused, and then counts the whole pause as downtime on the
/// basis of a single observation.
#[test]
fn single_evaluation_counts_at_most_two_seconds() {
    let mut health = ZoneHealth::default();
    let minute = Micros::from_millis(60_000);
    let settings = HealthSettings::default();
    health.observe(minute, Condition::Down, true, &settings);
    health.observe(STEP, Condition::Down, true, &settings);
    assert_eq!(
        health.state(),
        ZoneState::Suspect,
        "2.5 s of the 4 s of downtime that a loss requires"
    );
}
