//! The decisions of the operators' policy about one job. The policy module makes them, and a
//! [`Job`](super::Job) stores them, so that this module need not import the policy.

/// The decisions of the operators' policy about one job.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PolicyChoice {
    /// Weight of the job among jobs of the same priority. Doubling the weight makes a job as
    /// urgent as halving its remaining work.
    pub weight: f64,
    /// Factor applied to the number of waiting tasks for which capacity is requested from the
    /// autoscaler; 0 requests none, and 1 leaves the number unchanged.
    pub scale_out_factor: f64,
    /// Whether the job may use spot machines.
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
