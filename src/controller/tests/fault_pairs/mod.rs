//! Pairs of overlapping faults, drawn from a seed.
//!
//! The seed determines the two faults, the controllers and workers that they hit, and their start
//! and duration. Meanwhile users submit, cancel and query jobs. All invariants are checked after
//! each step of the simulation. After the faults have ended, all jobs must end, and every
//! controller must answer status queries correctly.
//!
//! `PAIRS=1000..1400 cargo test fault_pairs` runs other seeds. A seed that fails is added as a
//! test with a name of its own.

mod fault;
mod history;

use super::characterization::WireRecorder;
use super::seeds::seeds;
use super::simulation::secs;
use fault::{FAULTS, Fault};
use history::FaultHistory;
use rand::seq::IndexedRandom;

/// Number of tests among which the seeds of one kind of history are divided, so that they run in
/// parallel.
const PARTS: u64 = 4;
/// Range of seeds, end exclusive, that are run unless `PAIRS` is set.
const SEEDS: (u64, u64) = (0, 96);
/// Time in seconds before the first fault.
const SECONDS_BEFORE_FAULTS: usize = 12;
/// Times in seconds between the starts of the two faults, from which one is drawn.
const GAPS_S: [f64; 4] = [0.2, 1.0, 4.0, 14.0];

/// The kind of a history.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum HistoryKind {
    /// Independent jobs, and zone failover is disabled.
    Plain,
    /// Some jobs depend on other jobs.
    Dependencies,
    /// Zone failover is enabled, and the first fault of each pair isolates a zone.
    LostZone,
}

/// Runs the pair of a seed and returns the recorded effects of all controllers.
pub(super) fn recorded_pair(seed: u64, kind: HistoryKind) -> WireRecorder {
    let mut history = FaultHistory::new(seed, kind);
    history.simulation.recorder = Some(WireRecorder::default());
    run_pair(&mut history, seed, kind);
    history.simulation.recorder.expect("a recorder")
}

/// Runs the pair of a seed. The second fault starts shortly after the first.
fn run_pair(history: &mut FaultHistory, seed: u64, kind: HistoryKind) {
    let [drawn, second] =
        [(); 2].map(|()| *FAULTS.choose(&mut history.rng).expect("at least one fault"));
    let first = if kind == HistoryKind::LostZone {
        Fault::ZoneIsolation
    } else {
        drawn
    };
    for _ in 0..SECONDS_BEFORE_FAULTS {
        history.run_one_second(true);
    }
    let starts_at = history.simulation.now;
    let first = history.plan(first, starts_at);
    let gap_s = GAPS_S.choose(&mut history.rng).copied().unwrap_or(1.0);
    let second = history.plan(second, starts_at + secs(gap_s));
    println!("seed {seed}: {first:?}, {second:?}");
    history.run(vec![first, second]);
}

/// Runs the seeds that belong to one part of a kind of history.
fn run_part(part: u64, kind: HistoryKind) {
    for seed in seeds("PAIRS", SEEDS).filter(|seed| seed % PARTS == part) {
        run_pair(&mut FaultHistory::new(seed, kind), seed, kind);
    }
}

#[test]
fn fault_pairs_break_no_invariant_part_1() {
    run_part(0, HistoryKind::Plain);
}

#[test]
fn fault_pairs_break_no_invariant_part_2() {
    run_part(1, HistoryKind::Plain);
}

#[test]
fn fault_pairs_break_no_invariant_part_3() {
    run_part(2, HistoryKind::Plain);
}

#[test]
fn fault_pairs_break_no_invariant_part_4() {
    run_part(3, HistoryKind::Plain);
}

#[test]
fn fault_pairs_with_dependencies_break_no_invariant_part_1() {
    run_part(0, HistoryKind::Dependencies);
}

#[test]
fn fault_pairs_with_dependencies_break_no_invariant_part_2() {
    run_part(1, HistoryKind::Dependencies);
}

#[test]
fn fault_pairs_with_dependencies_break_no_invariant_part_3() {
    run_part(2, HistoryKind::Dependencies);
}

#[test]
fn fault_pairs_with_dependencies_break_no_invariant_part_4() {
    run_part(3, HistoryKind::Dependencies);
}

#[test]
fn fault_pairs_with_a_lost_zone_break_no_invariant_part_1() {
    run_part(0, HistoryKind::LostZone);
}

#[test]
fn fault_pairs_with_a_lost_zone_break_no_invariant_part_2() {
    run_part(1, HistoryKind::LostZone);
}

#[test]
fn fault_pairs_with_a_lost_zone_break_no_invariant_part_3() {
    run_part(2, HistoryKind::LostZone);
}

#[test]
fn fault_pairs_with_a_lost_zone_break_no_invariant_part_4() {
    run_part(3, HistoryKind::LostZone);
}
