//! Tests of the worker protocol's wire form. They guard against a renamed, missing or added field
//! or value, which would break the exchange with workers that are already deployed.

use super::{
    AttemptPhase, DirectCommand, ExitCause, Heartbeat, HeartbeatResponse, TaskStatus, WorkerCommand,
};
use crate::clock::Micros;
use crate::ids::{AttemptId, FencingToken};

#[test]
fn a_heartbeat_is_parsed_from_its_wire_form() {
    let text = r#"{"rig":"m-000001","addr":"10.1.0.7:9000","build":"big","yard":"x","loaners":true,
        "shift":5,"tally":61,"baton":1048577,"warningS":29.5,"new":"field","hands":[
        {"hand":"j-000412/3","try":2097153,"standing":"running","cause":null,"new":1},
        {"hand":"j-000412/4","try":2097154,"standing":"exited","cause":"done"}]}"#;
    let task = |task: &str, attempt, phase, cause| TaskStatus {
        task: task.into(),
        attempt: AttemptId(attempt),
        phase,
        cause,
    };
    let expected = Heartbeat {
        machine: "m-000001".into(),
        addr: "10.1.0.7:9000".into(),
        machine_type: "big".into(),
        zone: "x".into(),
        spot: true,
        agent_epoch: 5,
        heartbeat_sequence: 61,
        fencing_token: FencingToken(1_048_577),
        termination_notice_s: Some(29.5),
        tasks: vec![
            task("j-000412/3", 2_097_153, AttemptPhase::Running, None),
            task(
                "j-000412/4",
                2_097_154,
                AttemptPhase::Exited,
                Some(ExitCause::Done),
            ),
        ],
    };
    let read: Heartbeat = serde_json::from_str(text).expect("a heartbeat");
    assert_eq!(read, expected);
    let whole: serde_json::Value = serde_json::from_str(text).expect("JSON");
    for name in whole.as_object().expect("fields").keys() {
        let mut without = whole.clone();
        without.as_object_mut().expect("fields").remove(name);
        let read = serde_json::from_value::<Heartbeat>(without);
        let optional = ["warningS", "new"].contains(&name.as_str());
        assert_eq!(read.is_ok(), optional, "without {name}");
    }
}

#[test]
fn attempt_phases_and_exit_causes_keep_their_wire_names() {
    let task = |phase: &str, cause: &str| {
        let text = format!(r#"{{"hand":"j-1/0","try":7,"standing":"{phase}"{cause}}}"#);
        serde_json::from_str::<TaskStatus>(&text).expect(&text)
    };
    let phases = [
        ("pulling", AttemptPhase::Pulling),
        ("running", AttemptPhase::Running),
        ("saving", AttemptPhase::Saving),
        ("exited", AttemptPhase::Exited),
        // Only the owner uses this phase: a heartbeat can't report it.
        ("launching", AttemptPhase::Other),
        ("frozen", AttemptPhase::Other),
    ];
    for (name, phase) in phases {
        assert_eq!(task(name, "").phase, phase, "{name}");
    }
    let causes = [
        ("done", ExitCause::Done),
        ("stopped", ExitCause::Stopped),
        ("error", ExitCause::Error),
        ("no_room", ExitCause::NoRoom),
        ("in_use", ExitCause::InUse),
        ("unknown", ExitCause::Unknown),
        ("melted", ExitCause::Other),
    ];
    for (name, cause) in causes {
        let given = format!(r#","cause":"{name}""#);
        assert_eq!(task("exited", &given).cause, Some(cause), "{name}");
    }
    assert_eq!(task("exited", r#","cause":null"#).cause, None);
}

#[test]
fn a_heartbeat_response_and_a_direct_command_keep_their_wire_form() {
    let (task, attempt) = (|| "j-000412/3".to_owned(), AttemptId(2_097_153));
    let stop = WorkerCommand::Stop {
        task: task(),
        attempt,
        grace_period_s: 2.5,
    };
    let launch = WorkerCommand::Launch {
        task: task(),
        attempt,
    };
    let reap = WorkerCommand::Reap {
        task: task(),
        attempt,
    };
    let commands = vec![launch, stop, reap];
    let listed = r#"[{"hand":"j-000412/3","try":2097153,"verb":"launch"},{"hand":"j-000412/3","leewayS":2.5,"try":2097153,"verb":"halt"},{"hand":"j-000412/3","try":2097153,"verb":"reap"}]"#;
    // Messages are sent as a JSON value, which sorts the fields by name.
    let sent = |message: serde_json::Value| message.to_string();
    let token = FencingToken(1_048_577);
    let response = HeartbeatResponse {
        fencing_token: token,
        commands: commands.clone(),
        valid_until: Micros(9),
    };
    let expected = format!(r#"{{"baton":1048577,"orders":{listed}}}"#);
    assert_eq!(sent(serde_json::json!(response)), expected);
    let direct = DirectCommand {
        fencing_token: token,
        agent_epoch: 5,
        commands,
    };
    let expected = format!(r#"{{"baton":1048577,"orders":{listed},"shift":5}}"#);
    assert_eq!(sent(serde_json::json!(direct)), expected);
}
