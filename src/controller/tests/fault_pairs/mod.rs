//! Two faults at a time, drawn by a seed: which, whom they hit, when and for how long, beside
//! users who submit, cancel and query. All invariants are checked at every moment, and once
//! the faults are over everything ends, and every controller answers the truth.
//!
//! `PAIRS=1000..1400 cargo test fault_pairs` plays other seeds. One that fails becomes a
//! named test.

mod fault;
mod history;

use super::characterization::WireRecorder;
use super::simulation::secs;
use fault::{FAULTS, Fault};
use history::FaultHistory;
use rand::seq::IndexedRandom;

/// The tests that share the seeds of one kind of history, to run side by side.
const PARTS: u64 = 4;
/// The seeds that are played unless `PAIRS` is set.
const SEEDS: (u64, u64) = (0, 96);
/// Seconds before the first fault.
const SECONDS_BEFORE_FAULTS: usize = 12;
/// Seconds between the two faults.
const GAPS_S: [f64; 4] = [0.2, 1.0, 4.0, 14.0];

/// What is special about a history.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum HistoryKind {
    /// Nothing.
    Plain,
    /// Jobs depend on others.
    Dependencies,
    /// Zone failover is enabled, and a zone is isolated in each pair.
    LostZone,
}

/// Plays a pair whose effects are all recorded.
pub(super) fn recorded_pair(seed: u64, kind: HistoryKind) -> WireRecorder {
    let mut history = FaultHistory::new(seed, kind);
    history.simulation.recorder = Some(WireRecorder::default());
    play_pair(&mut history, seed, kind);
    history.simulation.recorder.expect("a recorder")
}

/// A pair that overlaps, the second a little after the first.
fn play_pair(history: &mut FaultHistory, seed: u64, kind: HistoryKind) {
    let [drawn, second] = [(); 2].map(|()| *FAULTS.choose(&mut history.rng).expect("one"));
    let first = if kind == HistoryKind::LostZone {
        Fault::ZoneIsolation
    } else {
        drawn
    };
    for _ in 0..SECONDS_BEFORE_FAULTS {
        history.play_second(true);
    }
    let starts_at = history.simulation.now;
    let first = history.plan(first, starts_at);
    let gap_s = GAPS_S.choose(&mut history.rng).copied().unwrap_or(1.0);
    let second = history.plan(second, starts_at + secs(gap_s));
    println!("seed {seed}: {first:?}, {second:?}");
    history.play(vec![first, second]);
}

/// Plays the seeds of one part of a kind of history.
fn play_part(part: u64, kind: HistoryKind) {
    let range = std::env::var("PAIRS").ok();
    let range = range.as_deref().and_then(|range| range.split_once(".."));
    let number = |text: &str| text.parse().expect("a number");
    let (from, to) = range.map_or(SEEDS, |(from, to)| (number(from), number(to)));
    for seed in (from..to).filter(|seed| seed % PARTS == part) {
        play_pair(&mut FaultHistory::new(seed, kind), seed, kind);
    }
}

#[test]
fn fault_pairs_break_no_invariant_part_1() {
    play_part(0, HistoryKind::Plain);
}

#[test]
fn fault_pairs_break_no_invariant_part_2() {
    play_part(1, HistoryKind::Plain);
}

#[test]
fn fault_pairs_break_no_invariant_part_3() {
    play_part(2, HistoryKind::Plain);
}

#[test]
fn fault_pairs_break_no_invariant_part_4() {
    play_part(3, HistoryKind::Plain);
}

#[test]
fn fault_pairs_with_dependencies_break_no_invariant_part_1() {
    play_part(0, HistoryKind::Dependencies);
}

#[test]
fn fault_pairs_with_dependencies_break_no_invariant_part_2() {
    play_part(1, HistoryKind::Dependencies);
}

#[test]
fn fault_pairs_with_dependencies_break_no_invariant_part_3() {
    play_part(2, HistoryKind::Dependencies);
}

#[test]
fn fault_pairs_with_dependencies_break_no_invariant_part_4() {
    play_part(3, HistoryKind::Dependencies);
}

#[test]
fn fault_pairs_with_a_lost_zone_break_no_invariant_part_1() {
    play_part(0, HistoryKind::LostZone);
}

#[test]
fn fault_pairs_with_a_lost_zone_break_no_invariant_part_2() {
    play_part(1, HistoryKind::LostZone);
}

#[test]
fn fault_pairs_with_a_lost_zone_break_no_invariant_part_3() {
    play_part(2, HistoryKind::LostZone);
}

#[test]
fn fault_pairs_with_a_lost_zone_break_no_invariant_part_4() {
    play_part(3, HistoryKind::LostZone);
}
