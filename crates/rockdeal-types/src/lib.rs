//! Identifiers and time: what every package of rockdeal names and measures alike.

pub mod clock;
pub mod ids;
pub mod suggestion;
