//! Heaviness: how much of the fleet a team's running tasks are endowed with,
//! less what it is entitled to (the paper's Section III-C, Equations 1 to 4).

mod resources;
mod usage;

pub use resources::Resources;
pub use usage::{Load, TeamUsage, UsageByTeam};

/// Equation 1: a request times its machine's capacity over the machine's
/// summed requests, for each resource.
pub fn endowment(request: Resources, capacity: Resources, summed: Resources) -> Resources {
    let ratio = capacity.zip(summed, ratio_or_zero);
    request.zip(ratio, |amount, ratio| amount * ratio)
}

/// Static heaviness `s`: the endowment's share of the fleet, summed over the
/// resources that the fleet has. It rises strictly with each of them.
pub fn static_heaviness(endowed: Resources, fleet: Resources) -> f64 {
    let share = endowed.zip(fleet, ratio_or_zero);
    share.cores + share.gpus + share.memory_gb
}

/// Equation 3 with guarantees for quotas: the fleet's share that is
/// proportional to a team's guarantee; zero where nothing is guaranteed.
pub fn actual_quota(guarantee: Resources, fleet: Resources, guarantees: Resources) -> Resources {
    let ratio = fleet.zip(guarantees, ratio_or_zero);
    guarantee.zip(ratio, |amount, ratio| amount * ratio)
}

/// A quotient; zero where the divisor is.
fn ratio_or_zero(dividend: f64, divisor: f64) -> f64 {
    if divisor > 0.0 {
        dividend / divisor
    } else {
        0.0
    }
}

#[cfg(test)]
mod tests;
