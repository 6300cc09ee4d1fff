//! Amounts of resources, and their arithmetic.

use super::ratio_or_zero;
use serde::{Deserialize, Serialize};
use std::ops::{AddAssign, Sub, SubAssign};

/// Amounts of each resource: of a task, a machine or the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct Resources {
    /// Processor cores.
    pub cores: f64,
    /// Accelerators.
    #[serde(rename = "cards")]
    pub gpus: f64,
    /// Memory, in GB.
    #[serde(rename = "mem")]
    pub memory_gb: f64,
}

/// Sums of decimal amounts may be off by this much.
const EPSILON: f64 = 1e-6;
/// A bound for counts of what takes nothing of any resource.
const MAX_TIMES: f64 = 1e6;

impl Resources {
    /// These amounts.
    pub fn new(cores: f64, cards: f64, mem: f64) -> Self {
        Resources {
            cores,
            gpus: cards,
            memory_gb: mem,
        }
    }

    pub(super) fn zip(self, other: Resources, combine: impl Fn(f64, f64) -> f64) -> Resources {
        Resources::new(
            combine(self.cores, other.cores),
            combine(self.gpus, other.gpus),
            combine(self.memory_gb, other.memory_gb),
        )
    }

    /// So many times as much of each.
    pub fn scale(self, by: f64) -> Resources {
        Resources::new(self.cores * by, self.gpus * by, self.memory_gb * by)
    }

    /// Whether there is enough of each.
    pub fn fits_in(&self, room: &Resources) -> bool {
        self.cores <= room.cores + EPSILON
            && self.gpus <= room.gpus + EPSILON
            && self.memory_gb <= room.memory_gb + EPSILON
    }

    /// How many of these fit side by side (bin packing of equal items).
    pub fn times_in(&self, room: &Resources) -> u32 {
        let times = |needed: f64, available: f64| {
            if needed <= EPSILON {
                f64::INFINITY
            } else {
                ((available + EPSILON) / needed).floor()
            }
        };
        let min = times(self.cores, room.cores)
            .min(times(self.gpus, room.gpus))
            .min(times(self.memory_gb, room.memory_gb));
        min.clamp(0.0, MAX_TIMES) as u32
    }

    /// The larger amount of each.
    pub fn max(self, other: Resources) -> Resources {
        self.zip(other, f64::max)
    }

    /// The largest share of `whole` that any resource takes.
    pub fn share_of(&self, whole: &Resources) -> f64 {
        let shares = self.zip(*whole, ratio_or_zero);
        shares.cores.max(shares.gpus).max(shares.memory_gb)
    }
}

impl AddAssign for Resources {
    fn add_assign(&mut self, other: Resources) {
        *self = self.zip(other, |left, right| left + right);
    }
}

impl SubAssign for Resources {
    fn sub_assign(&mut self, other: Resources) {
        *self = self.zip(other, |left, right| left - right);
    }
}

impl Sub for Resources {
    type Output = Resources;
    fn sub(self, other: Resources) -> Resources {
        self.zip(other, |left, right| left - right)
    }
}
