//! Types that all packages of rockdeal share: identifiers, time, and suggestions for misspelt
//! names in error messages.

pub mod clock;
pub mod ids;
pub mod suggestion;
