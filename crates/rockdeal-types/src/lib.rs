//! Identifiers and time: what every package of rockdeal names and measures alike.

#![warn(missing_docs)]

pub mod clock;
pub mod ids;
pub mod suggestion;
