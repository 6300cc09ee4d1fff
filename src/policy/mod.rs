//! What operators may choose, beyond the platform's file.

use crate::clock::Micros;
use crate::settings::Settings;

/// The operators' choices. None of them can weaken a rule.
#[derive(Debug, Clone, PartialEq)]
pub struct Policy {
    /// Guaranteed cores per block: the fleet has a block for each of these, and at
    /// most one per controller.
    pub block_cores: f64,
    /// How long a spot machine may be idle before it is returned.
    pub idle_return: Micros,
    /// The same for an ordinary one, which costs several times as much.
    pub idle_return_ordinary: Micros,
    /// How long a machine stays silent before it is returned.
    pub silent: Micros,
    /// Work that would be over within this time by itself rents nothing.
    pub rent_horizon: Micros,
}

impl Policy {
    /// Blocks that the fleet is divided into. Work can't use the room of another
    /// block, so small fleets are not divided (measured: see docs/design.md).
    pub fn blocks(&self, settings: &Settings) -> u64 {
        let wanted = (settings.guarantees().cores / self.block_cores).ceil();
        (wanted as u64).clamp(1, settings.platform.initial_size as u64)
    }
}

impl Default for Policy {
    fn default() -> Self {
        Policy {
            block_cores: 9000.0,
            idle_return: Micros::from_millis(55_000),
            idle_return_ordinary: Micros::from_millis(12_000),
            silent: Micros::from_millis(10_000),
            rent_horizon: Micros::from_millis(30_000),
        }
    }
}
