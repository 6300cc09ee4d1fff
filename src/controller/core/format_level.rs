//! The format level that every controller of the deployment understands.
//!
//! It owns the newest level that each controller was seen with. The recorded level only
//! rises.

use super::Core;
use super::effects::critical_write;
use super::in_flight::RequestKind;
use crate::clock::Micros;
use crate::controller::messages::{Effect, StoreOperation};
use crate::ids::{Label, Revision};
use crate::partitions::{FormatLevel, FormatRecord};
use crate::store::{Compare, Mutation, Reply, keys};
use std::collections::BTreeMap;

/// So many conditions for each change that a transaction may have.
const COMPARES_PER_MUTATION: usize = 4;

/// The newest format level that each controller was seen with.
#[derive(Debug, Default)]
pub(super) struct SeenFormatLevels {
    levels: BTreeMap<Label, FormatLevel>,
}

impl SeenFormatLevels {
    /// Records the level of a member.
    pub(super) fn record(&mut self, label: &Label, level: FormatLevel) {
        self.levels.insert(label.clone(), level);
    }

    /// The level that all of these controllers understand.
    fn common<'a>(&self, controllers: impl Iterator<Item = &'a Label>) -> Option<FormatLevel> {
        controllers
            .map(|label| self.levels.get(label).copied().unwrap_or_default())
            .min()
    }
}

impl Core {
    /// Records the format level that every controller of the deployment has been seen with,
    /// once. Guards against a job that is accepted with others before it while a controller
    /// of an earlier version may still come to own its partition, and would start it at once.
    pub(super) fn raise_format_level(
        &mut self,
        now: Micros,
        leader: &Compare,
        out: &mut Vec<Effect>,
    ) {
        let cache = self.store.cache();
        let settings = &self.configuration.settings;
        let seen = &self.leader_state.format_levels;
        let level = seen.common(settings.controllers());
        let Some(level) = level.filter(|level| *level > cache.format_level()) else {
            return;
        };
        if !self.in_flight.begin_request(now, RequestKind::FormatLevel) {
            return;
        }
        let revision = cache
            .format
            .map_or(Revision(0), |versioned| versioned.revision);
        let mut compares = vec![leader.clone(), Compare::new(keys::FORMAT.into(), revision)];
        // As many controllers as a transaction can name must be as they were seen.
        let max_members = COMPARES_PER_MUTATION * settings.max_mutations() - compares.len();
        compares.extend(settings.controllers().take(max_members).map(|label| {
            let member = cache.members.get(label);
            let revision = member.map_or(Revision(0), |versioned| versioned.revision);
            Compare::new(keys::member(label), revision)
        }));
        tracing::info!(level = level.0, "format level agreed");
        let mutations = vec![Mutation::put(keys::FORMAT.into(), &FormatRecord { level })];
        out.push(critical_write(
            StoreOperation::FormatLevel,
            compares,
            mutations,
        ));
    }

    /// Takes in the reply to a raise of the format level.
    pub(super) fn handle_format_level_reply(&mut self, reply: &Reply) {
        // Until the cache shows a committed one, the same would be written again.
        if !matches!(reply, Reply::Committed(_)) {
            self.in_flight.finish(RequestKind::FormatLevel);
        }
    }
}
