//! Amounts of resources, their arithmetic, and checks of whether one amount fits in another.

use super::ratio_or_zero;
use serde::{Deserialize, Serialize};
use std::ops::{AddAssign, Sub, SubAssign};

/// Amounts of all resources of a task, a machine or the fleet.
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

/// Tolerance in comparisons of amounts, because sums of decimal amounts are not exact.
const EPSILON: f64 = 1e-6;
/// Upper bound of [`Resources::times_in`]. Without it, amounts that are all zero would fit
/// infinitely often.
const MAX_COPIES: f64 = 1e6;

impl Resources {
    /// Creates amounts from processor cores, accelerators and memory in GB.
    pub fn new(cores: f64, gpus: f64, memory_gb: f64) -> Self {
        Resources {
            cores,
            gpus,
            memory_gb,
        }
    }

    /// Combines each amount with the same resource's amount in `other`.
    pub(super) fn zip(self, other: Resources, combine: impl Fn(f64, f64) -> f64) -> Resources {
        Resources::new(
            combine(self.cores, other.cores),
            combine(self.gpus, other.gpus),
            combine(self.memory_gb, other.memory_gb),
        )
    }

    /// Returns each amount multiplied by `factor`.
    pub fn scale(self, factor: f64) -> Resources {
        Resources::new(
            self.cores * factor,
            self.gpus * factor,
            self.memory_gb * factor,
        )
    }

    /// Returns whether `room` has enough of each resource.
    pub fn fits_in(&self, room: &Resources) -> bool {
        self.cores <= room.cores + EPSILON
            && self.gpus <= room.gpus + EPSILON
            && self.memory_gb <= room.memory_gb + EPSILON
    }

    /// Returns how many copies of these amounts fit in `room` together (bin packing of equal
    /// items).
    pub fn times_in(&self, room: &Resources) -> u32 {
        let copies = |needed: f64, available: f64| {
            if needed <= EPSILON {
                f64::INFINITY
            } else {
                ((available + EPSILON) / needed).floor()
            }
        };
        let min = copies(self.cores, room.cores)
            .min(copies(self.gpus, room.gpus))
            .min(copies(self.memory_gb, room.memory_gb));
        min.clamp(0.0, MAX_COPIES) as u32
    }

    /// Returns the larger amount of each resource.
    pub fn max(self, other: Resources) -> Resources {
        self.zip(other, f64::max)
    }

    /// Returns the largest share of `whole` that these amounts take of any resource.
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
