//! A property test of zone failover: in any random history of faults, each job finishes exactly
//! once. A history that fails is shrunk.

use super::{CONTROLLERS, FAILOVER_ENABLED, finish_jobs, three_zones};
use crate::controller::tests::simulation::{Simulation, ZONES};
use crate::jobs::tests::job_desc;
use crate::store::keys;
use proptest::prelude::*;
use proptest::test_runner::FileFailurePersistence;

/// Number of histories that are run unless `PROPTEST_CASES` is set.
const CASES: u32 = 40;
/// Interval at which heartbeat copies are selected for late delivery: one of seven.
const LATE_HEARTBEAT_STRIDE: usize = 7;
/// Maximum number of heartbeat copies that one event delivers.
const MAX_LATE_HEARTBEATS: usize = 30;
/// Time in seconds for which a controller's writes are delayed.
const WRITE_DELAY_S: f64 = 4.0;

/// An event of a history. Zones and controllers are given by index, durations in seconds.
#[derive(Debug, Clone)]
enum HistoryEvent {
    IsolateZone(usize),
    ReconnectZone(usize),
    CrashController(usize),
    StartController(usize),
    StoreOutage(f64),
    Advance(f64),
    /// Copies of earlier heartbeats reach a controller.
    LateHeartbeats(usize),
    /// A controller's transactions get no answer, and are committed four seconds later.
    DelayedWrites(usize),
}

fn history_event() -> impl Strategy<Value = HistoryEvent> {
    let zone = 0..ZONES.len();
    let controller = 0..CONTROLLERS;
    prop_oneof![
        3 => zone.clone().prop_map(HistoryEvent::IsolateZone),
        2 => zone.prop_map(HistoryEvent::ReconnectZone),
        1 => controller.clone().prop_map(HistoryEvent::CrashController),
        2 => controller.clone().prop_map(HistoryEvent::StartController),
        1 => (1..20_u8).prop_map(|seconds| HistoryEvent::StoreOutage(f64::from(seconds))),
        4 => (1..30_u8).prop_map(|seconds| HistoryEvent::Advance(f64::from(seconds))),
        1 => controller.clone().prop_map(HistoryEvent::LateHeartbeats),
        1 => controller.prop_map(HistoryEvent::DelayedWrites),
    ]
}

impl HistoryEvent {
    fn apply(&self, simulation: &mut Simulation) {
        match *self {
            HistoryEvent::IsolateZone(zone) => simulation.set_zone_isolated(ZONES[zone], true),
            HistoryEvent::ReconnectZone(zone) => simulation.set_zone_isolated(ZONES[zone], false),
            HistoryEvent::CrashController(controller) => simulation.crash_controller(controller),
            HistoryEvent::StartController(controller) => {
                if simulation.controllers[controller].core.is_none() {
                    simulation.start_controller(controller);
                }
            }
            HistoryEvent::StoreOutage(seconds) => {
                simulation.store.is_down = true;
                simulation.advance(seconds);
                simulation.store.is_down = false;
            }
            HistoryEvent::Advance(seconds) => simulation.advance(seconds),
            HistoryEvent::LateHeartbeats(controller) => {
                let copies = simulation.network.heartbeat_copies.iter();
                let copies: Vec<_> = copies
                    .step_by(LATE_HEARTBEAT_STRIDE)
                    .take(MAX_LATE_HEARTBEATS)
                    .cloned()
                    .collect();
                for copy in &copies {
                    // A controller that is not running does not receive the copy.
                    simulation.deliver_late_heartbeat(controller, copy);
                }
            }
            HistoryEvent::DelayedWrites(controller) => {
                simulation.controllers[controller].faults.has_delayed_writes = true;
                simulation.advance(WRITE_DELAY_S);
                simulation.controllers[controller].faults.has_delayed_writes = false;
                simulation.deliver_held_transactions();
            }
        }
    }
}

/// Returns the configuration of the property test. The seed of a failed history is stored next to
/// this source file, in a file with the extension `regressions`.
fn config() -> ProptestConfig {
    let requested_cases =
        std::env::var_os("PROPTEST_CASES").map(|_| ProptestConfig::default().cases);
    let persistence = FileFailurePersistence::WithSource("regressions");
    ProptestConfig {
        cases: requested_cases.unwrap_or(CASES),
        max_shrink_iters: 200,
        failure_persistence: Some(Box::new(persistence)),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// The end of each job must be stored exactly once. The simulation also checks after each step
    /// that no task runs on two machines and that no team exceeds its quota limit.
    #[test]
    fn each_job_finishes_exactly_once_in_any_history(
        events in prop::collection::vec(history_event(), 1..14),
    ) {
        let subsystems = format!("{FAILOVER_ENABLED}[zone-failover.waves]\nmachines = 2\ntasks = 4\n");
        let mut simulation = three_zones(3, &subsystems);
        simulation.cloud.has_capacity = true;
        simulation.network.copies_heartbeats = true;
        let ids = ["j-1", "j-2", "j-3"];
        for (id, tasks) in ids.iter().zip([9, 4, 6]) {
            simulation.submit(&job_desc(id, tasks));
        }
        simulation.advance(4.0);
        for event in &events {
            event.apply(&mut simulation);
        }
        for zone in ZONES {
            simulation.set_zone_isolated(zone, false);
        }
        for controller in 0..CONTROLLERS {
            HistoryEvent::StartController(controller).apply(&mut simulation);
        }
        finish_jobs(&mut simulation, &ids);
        for id in ids {
            let ends = simulation.store.write_count(&keys::ended(&id.into()));
            prop_assert_eq!(ends, 1, "{} did not finish exactly once", id);
        }
    }
}
