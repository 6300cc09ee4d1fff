//! Fair sharing between teams by heaviness: the share of the fleet that a team's running tasks
//! are endowed with, less the share that the team is entitled to. Tasks of the lightest team are
//! started first.
//!
//! The formulas are Equations 1 to 4 of Section III-C of the paper that `docs/design.md` cites.

mod resources;
mod usage;

pub use resources::Resources;
pub use usage::{Load, TeamUsage, UsageByTeam};

/// Returns the endowment of a task (Equation 1 of the paper): its request, scaled by the ratio
/// of its machine's capacity to the sum of all requests on that machine, for each resource.
pub fn endowment(request: Resources, capacity: Resources, total_requests: Resources) -> Resources {
    let ratio = capacity.zip(total_requests, ratio_or_zero);
    request.zip(ratio, |amount, ratio| amount * ratio)
}

/// Returns the static heaviness of an endowment, `s` in the paper: its share of the fleet, summed
/// over the resources that the fleet has. The result increases strictly with each of them.
pub fn static_heaviness(endowed: Resources, fleet: Resources) -> f64 {
    let share = endowed.zip(fleet, ratio_or_zero);
    share.cores + share.gpus + share.memory_gb
}

/// Returns a team's actual quota (Equation 3 of the paper, with guarantees as quotas): the part
/// of the fleet that is proportional to the team's share of `guarantees`, the sum of all teams'
/// guarantees. It is zero for resources that no team is guaranteed.
pub fn actual_quota(guarantee: Resources, fleet: Resources, guarantees: Resources) -> Resources {
    let ratio = fleet.zip(guarantees, ratio_or_zero);
    guarantee.zip(ratio, |amount, ratio| amount * ratio)
}

/// Returns the quotient, or zero if the divisor is not positive.
fn ratio_or_zero(dividend: f64, divisor: f64) -> f64 {
    if divisor > 0.0 {
        dividend / divisor
    } else {
        0.0
    }
}

#[cfg(test)]
mod tests;
