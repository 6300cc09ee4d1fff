//! Format levels: which records and requests the controllers of a mixed-version cluster may
//! use.
//!
//! A rolling upgrade runs two versions side by side. A record or request of a new level is
//! written only once every controller understands it.

use serde::{Deserialize, Serialize};

/// Which records and requests a version understands. A new level comes into use once every
/// controller has registered with it; the store records that, and the level never falls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct FormatLevel(pub u32);

impl FormatLevel {
    /// Jobs may depend on others that have to be done first. A version of an earlier level
    /// would start them at once.
    pub const DEPENDENCIES: FormatLevel = FormatLevel(1);
    /// The newest level that this version understands.
    pub const NEWEST: FormatLevel = FormatLevel::DEPENDENCIES;

    /// Whether it is the level before there were any, which records leave out.
    pub(super) fn is_first(&self) -> bool {
        *self == FormatLevel::default()
    }
}
