use super::*;
use crate::jobs::tests::desc;

pub fn report(
    machine: &str,
    session: u64,
    sequence: u64,
    token: FencingToken,
    tasks: &[(&str, u64, &str, &str)],
) -> Heartbeat {
    let tasks: Vec<_> = tasks
        .iter()
        .map(|(task, attempt, standing, cause)| {
            serde_json::json!({"hand": task, "try": attempt, "standing": standing,
                "cause": if cause.is_empty() { serde_json::Value::Null } else { (*cause).into() }})
        })
        .collect();
    serde_json::from_value(serde_json::json!({
        "rig": machine, "addr": "10.1.0.1:9000", "build": "big", "yard": "x", "loaners": false,
        "shift": session, "tally": sequence, "baton": token, "warningS": null, "hands": tasks
    }))
    .expect("well formed")
}

fn machine() -> Machine {
    Machine::new(
        Micros(0),
        Term(3),
        "big",
        "x",
        false,
        Resources::new(16.0, 0.0, 64.0),
        "",
    )
}

fn launch(m: &mut Machine, task: &str, attempt: u64) -> AttemptKey {
    let key = (TaskId::parse(task).expect("a task"), AttemptId(attempt));
    let t = Attempt::new(
        Phase::Launching,
        Micros(0),
        Some((0, &Rc::new(desc("j-1", 4)))),
    );
    m.attempts.insert(key.clone(), t);
    key
}

fn launches(m: &mut Machine) -> usize {
    m.commands(true)
        .iter()
        .filter(|o| matches!(o, WorkerCommand::Launch { .. }))
        .count()
}

#[test]
fn a_launch_that_no_report_shows_stays_ours_and_is_repeated() {
    let mut m = machine();
    launch(&mut m, "j-1/0", 7);
    assert_eq!(launches(&mut m), 1);
    assert!(
        m.reconcile(Micros(1), &report("m", 1, 1, m.fencing_token(), &[]))
            .is_empty()
    );
    assert_eq!(launches(&mut m), 1);
    assert_eq!(m.compute_load().summed.cores, 2.0);
}

#[test]
fn a_lost_direct_command_holds_back_reaping_until_it_is_fenced() {
    let mut m = machine();
    let key = launch(&mut m, "j-1/0", 7);
    m.direct_command_in_flight = true;
    let old = m.fencing_token();
    m.direct_command_lost();
    assert!(m.fencing_token() > old);
    m.reconcile(
        Micros(1),
        &report("m", 1, 1, old, &[("j-1/0", 7, "exited", "done")]),
    );
    m.attempts.get_mut(&key).expect("kept").may_be_reaped = true;
    assert_eq!(
        m.commands(true),
        vec![],
        "the late launch would run it again after a reap"
    );
    m.reconcile(
        Micros(2),
        &report(
            "m",
            1,
            2,
            m.fencing_token(),
            &[("j-1/0", 7, "exited", "done")],
        ),
    );
    assert!(matches!(m.commands(true)[..], [WorkerCommand::Reap { .. }]));
}

#[test]
fn an_abandoned_launch_is_over_only_behind_its_fence() {
    let mut m = machine();
    let key = launch(&mut m, "j-1/0", 7);
    let old = m.fencing_token();
    m.stop(0.0, |_| true);
    assert_eq!(launches(&mut m), 0);
    assert!(
        m.reconcile(Micros(1), &report("m", 1, 1, old, &[]))
            .is_empty()
    );
    let events = m.reconcile(Micros(2), &report("m", 1, 2, m.fencing_token(), &[]));
    assert_eq!(events, vec![AttemptEvent::Lost(key)]);
}

#[test]
fn an_abandoned_launch_that_began_is_halted() {
    let mut m = machine();
    launch(&mut m, "j-1/0", 7);
    m.stop(0.0, |_| true);
    m.reconcile(
        Micros(1),
        &report("m", 1, 1, FencingToken(0), &[("j-1/0", 7, "running", "")]),
    );
    assert!(matches!(m.commands(true)[..], [WorkerCommand::Stop { .. }]));
}

#[test]
fn a_new_session_ends_all_of_the_old_one() {
    let mut m = machine();
    m.reconcile(Micros(0), &report("m", 1, 1, FencingToken(0), &[]));
    let key = launch(&mut m, "j-1/0", 7);
    let events = m.reconcile(Micros(1), &report("m", 2, 9, FencingToken(0), &[]));
    assert_eq!(events, vec![AttemptEvent::Lost(key)]);
    assert!(
        !m.is_newer(&report("m", 1, 50, FencingToken(0), &[])),
        "a late report of the old session"
    );
}

#[test]
fn an_unconfirmed_machine_gets_no_orders_until_it_has_seen_our_token() {
    let mut m = machine();
    m.unconfirmed = true;
    launch(&mut m, "j-1/0", 7);
    assert!(!m.shows_term(&report("m", 4, 1, FencingToken::of(Term(2), 5), &[])));
    assert!(m.commands(true).is_empty());
    let r = report("m", 4, 2, FencingToken::of(Term(3), 0), &[]);
    assert!(m.shows_term(&r));
    m.reconcile(Micros(2), &r);
    assert!(!m.unconfirmed);
}

#[test]
fn a_machine_that_never_heeds_an_answer_is_suspect_until_it_does() {
    let mut m = machine();
    let mut old = report("m", 1, 1, FencingToken(0), &[]);
    for n in 1..=MOST_UNACKNOWLEDGED {
        assert!(!m.is_unreachable());
        old.heartbeat_sequence = u64::from(n);
        m.record_answer(Micros(u64::from(n)), &old);
    }
    assert!(m.is_unreachable(), "it never showed the token");
    m.reconcile(Micros(9), &report("m", 1, 9, m.fencing_token(), &[]));
    assert!(!m.is_unreachable());
    launch(&mut m, "j-1/0", 7);
    for n in 10..=12 {
        m.reconcile(Micros(n), &report("m", 1, n, m.fencing_token(), &[]));
        assert!(!m.is_unreachable());
        m.commands(true);
    }
    assert!(m.is_unreachable(), "nor carried out an order");
}

#[test]
fn odd_reports_are_refused_or_change_nothing() {
    assert!(serde_json::from_str::<Heartbeat>(r#"{"rig":"m"}"#).is_err());
    let mut m = machine();
    let events = m.reconcile(
        Micros(1),
        &report(
            "m",
            1,
            1,
            FencingToken(0),
            &[("nonsense", 1, "running", "")],
        ),
    );
    assert!(events.is_empty() && m.attempts.is_empty());
}

#[test]
fn a_lease_counts_from_the_start_of_its_session_too() {
    let mut m = machine();
    let first = report("m", 1, 1, m.fencing_token(), &[]);
    m.reconcile(Micros::from_secs(10.0), &first);
    m.record_answer(Micros::from_secs(10.0), &first);
    assert_eq!(m.lease_started_at(), Micros::from_secs(10.0));
    // By an answer to a direct command: no answer to a report renewed anything.
    let next = report("m", 2, 2, m.fencing_token(), &[]);
    m.reconcile(Micros::from_secs(15.0), &next);
    assert_eq!(m.lease_started_at(), Micros::from_secs(15.0));
}

#[test]
fn a_report_is_parsed_from_its_wire_form() {
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
        warning_s: Some(29.5),
        tasks: vec![
            task("j-000412/3", 2_097_153, Phase::Running, None),
            task("j-000412/4", 2_097_154, Phase::Exited, Some(Cause::Done)),
        ],
    };
    let read: Heartbeat = serde_json::from_str(text).expect("a report");
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
fn phases_and_causes_of_a_report_keep_their_names() {
    let task = |phase: &str, cause: &str| {
        let text = format!(r#"{{"hand":"j-1/0","try":7,"standing":"{phase}"{cause}}}"#);
        serde_json::from_str::<TaskStatus>(&text).expect(&text)
    };
    let phases = [
        ("pulling", Phase::Pulling),
        ("running", Phase::Running),
        ("saving", Phase::Saving),
        ("exited", Phase::Exited),
        // Ours alone: no report can claim it.
        ("launching", Phase::Other),
        ("frozen", Phase::Other),
    ];
    for (name, phase) in phases {
        assert_eq!(task(name, "").phase, phase, "{name}");
    }
    let causes = [
        ("done", Cause::Done),
        ("stopped", Cause::Stopped),
        ("error", Cause::Error),
        ("no_room", Cause::NoRoom),
        ("in_use", Cause::InUse),
        ("unknown", Cause::Unknown),
        ("melted", Cause::Other),
    ];
    for (name, cause) in causes {
        let given = format!(r#","cause":"{name}""#);
        assert_eq!(task("exited", &given).cause, Some(cause), "{name}");
    }
    assert_eq!(task("exited", r#","cause":null"#).cause, None);
}

#[test]
fn the_answer_to_a_report_and_a_direct_command_keep_their_form() {
    let (task, attempt) = (|| "j-000412/3".to_owned(), AttemptId(2_097_153));
    let halt = WorkerCommand::Stop {
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
    let orders = vec![launch, halt, reap];
    let listed = r#"[{"hand":"j-000412/3","try":2097153,"verb":"launch"},{"hand":"j-000412/3","leewayS":2.5,"try":2097153,"verb":"halt"},{"hand":"j-000412/3","try":2097153,"verb":"reap"}]"#;
    // As they are sent: through a value, whose fields are sorted.
    let sent = |message: serde_json::Value| message.to_string();
    let token = FencingToken(1_048_577);
    let answer = HeartbeatResponse {
        fencing_token: token,
        commands: orders.clone(),
        valid_until: Micros(9),
    };
    let expected = format!(r#"{{"baton":1048577,"orders":{listed}}}"#);
    assert_eq!(sent(serde_json::json!(answer)), expected);
    let direct = DirectCommand {
        fencing_token: token,
        agent_epoch: 5,
        commands: orders,
    };
    let expected = format!(r#"{{"baton":1048577,"orders":{listed},"shift":5}}"#);
    assert_eq!(sent(serde_json::json!(direct)), expected);
}
