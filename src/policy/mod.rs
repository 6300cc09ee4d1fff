//! What operators may choose, beyond the platform's file.

use crate::clock::Micros;

/// The operators' choices. None of them can weaken a rule.
#[derive(Debug, Clone, PartialEq)]
pub struct Policy {
    /// Blocks that the fleet is divided into.
    pub blocks: u64,
    /// How long a machine may be idle before it is returned.
    pub idle_return: Micros,
    /// How long a machine stays silent before it is returned.
    pub silent: Micros,
    /// Work that would be over within this time by itself rents nothing.
    pub rent_horizon: Micros,
}

impl Default for Policy {
    fn default() -> Self {
        Policy {
            blocks: 3,
            idle_return: Micros::from_millis(45_000),
            silent: Micros::from_millis(10_000),
            rent_horizon: Micros::from_millis(30_000),
        }
    }
}
