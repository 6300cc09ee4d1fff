//! Guards against a cancelled job that starts because its cancellation was dropped before the
//! watch reached it, and against a set of cancellations that grows without bound.

use super::{MAX_PENDING_CANCELLATIONS, PendingCancellations};
use crate::ids::{JobId, Revision};

fn pending(cancellations: &PendingCancellations) -> Vec<String> {
    cancellations.iter().map(JobId::to_string).collect()
}

#[test]
fn cancellations_are_forgotten_once_the_watch_has_reached_them() {
    let mut cancellations = PendingCancellations::default();
    cancellations.insert("j-1".into(), Revision(7));
    cancellations.insert("j-2".into(), Revision(8));

    cancellations.drop_applied(Revision(7));

    assert_eq!(pending(&cancellations), ["j-2"]);
}

#[test]
fn a_full_set_drops_the_cancellation_of_the_lowest_revision() {
    let mut cancellations = PendingCancellations::default();
    for revision in 0..=MAX_PENDING_CANCELLATIONS as u64 {
        let job = format!("j-{revision}");
        cancellations.insert(job.as_str().into(), Revision(revision));
    }

    let pending = pending(&cancellations);

    assert_eq!(pending.len(), MAX_PENDING_CANCELLATIONS);
    assert_eq!(pending[0], "j-1");
}
