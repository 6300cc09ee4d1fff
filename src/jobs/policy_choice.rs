//! What the operators' policy decides about one job. The policy module computes it; jobs
//! only carry it, so that this module does not import the policy.

/// What the policy decides about one job.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PolicyChoice {
    /// How much it counts among jobs of its priority; a job of twice the weight is as urgent
    /// as one with half the work left.
    pub weight: f64,
    /// Which part of the capacity that it lacks is requested by the autoscaler.
    pub scale_out_factor: f64,
    /// Whether it may use spot machines.
    pub spot: bool,
}

impl Default for PolicyChoice {
    fn default() -> Self {
        PolicyChoice {
            weight: 1.0,
            scale_out_factor: 1.0,
            spot: true,
        }
    }
}
