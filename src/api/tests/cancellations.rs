use super::{LookUp, StoreReply, ended, live, not_found, status, user_context, view};
use crate::api::read_index::JobLookup;
use crate::ids::Revision;
use crate::jobs::JobState;
use crate::store::Reply;
use std::sync::atomic::{AtomicBool, Ordering};

/// Guards against an answer of "cancelled" for a job that is done. The last task ends while the
/// job is being cancelled: the write that is committed first decides, and the answer is read
/// from the store.
#[tokio::test]
async fn a_cancellation_that_races_the_end_of_a_job_is_answered_with_what_was_committed() {
    static ENDED: AtomicBool = AtomicBool::new(false);
    let conflict: StoreReply = |_| {
        ENDED.store(true, Ordering::Relaxed);
        Reply::Conflict(vec!["r/jobs/j-000412".into()])
    };
    let live_until_conflict: LookUp = |_| {
        if ENDED.load(Ordering::Relaxed) {
            ended(JobState::Done)
        } else {
            live()
        }
    };
    let cancel = async |store: StoreReply, look_up: LookUp| {
        let context = user_context(view(), store, look_up);
        status(&context.cancel("j-000412").await)
    };
    let done = cancel(conflict, live_until_conflict).await;
    assert_eq!(done, (200, Some(JobState::Done)));
    // Without a reply to the write, the user is asked to retry.
    let indeterminate: StoreReply = |_| Reply::Indeterminate;
    assert_eq!(cancel(indeterminate, |_| live()).await.0, 503);
    let cancelled = cancel(|_| Reply::Committed(Revision(9)), |_| live()).await;
    assert_eq!(cancelled, (200, Some(JobState::Cancelled)));
    assert_eq!(cancel(indeterminate, not_found).await.0, 404);
    let unavailable: LookUp = |_| JobLookup::Unavailable;
    assert_eq!(cancel(indeterminate, unavailable).await.0, 503);
}
