use super::{no_commands, view, worker_context};
use crate::clock::Micros;
use serde_json::json;

/// Guards against an answer that is sent after the lease expired, because the process paused
/// between the controller's decision and the sending of the answer.
#[tokio::test]
async fn an_answer_to_a_heartbeat_is_not_sent_after_its_lease_expired() {
    let heartbeat = json!({"rig": "m-1", "addr": "a:1", "build": "big", "yard": "x", "loaners": false,
        "shift": 1, "tally": 1, "baton": 0, "hands": []});
    let heartbeat = heartbeat.to_string();
    let valid = worker_context(view(), no_commands(Micros::from_secs(3_600.0)));
    let answer = valid.heartbeat(heartbeat.as_bytes()).await;
    assert_eq!(answer.status().as_u16(), 200);
    let expired = worker_context(view(), no_commands(Micros(1)));
    let answer = expired.heartbeat(heartbeat.as_bytes()).await;
    assert_eq!(answer.status().as_u16(), 503);
}
