//! Guards against changes of the command line's interface: the exact lines that `check`,
//! `policy` and refused files print, and the exit codes. Scripts of operators depend on them.

#![expect(clippy::expect_used, reason = "helpers of tests fail by panicking")]

use serde_json::{Value, json};
use std::path::PathBuf;
use std::process::{Command, Output};

/// Writes a file into a directory of this test process, and returns its path.
fn write_file(name: &str, text: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("rockdeal-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a folder");
    let path = dir.join(name);
    std::fs::write(&path, text).expect("a file");
    path
}

/// Returns valid settings.
fn example() -> Value {
    json!({
        "label": "c0", "bind": "127.0.0.1:9000", "mesh_addr": "127.0.0.1:9001", "seeds": [],
        "endpoints": {"cloud": "127.0.0.1:1", "state": "127.0.0.1:2"},
        "settings": {
            "initial_size": 1, "zones": ["x", "y"],
            "teams": [{"name": "red", "cpus": 8.0, "cpus_max": 16.0}],
            "workers": {"report_s": 3.0, "lease_s": 30.0, "cancel_s": 60.0},
            "state": {"rps": 100.0, "write_rps": 30.0, "value_kb": 16.0, "txn_ops": 16},
            "cloud": {"rps": 4.0, "list_lag_s": 4.0},
            "limits": {"sockets": 1000}
        }
    })
}

/// Writes a valid settings file. Each test needs its own name: tests run concurrently, and a test
/// could read the file of another while it is still empty.
fn write_settings(name: &str) -> PathBuf {
    write_file(&format!("{name}.json"), &example().to_string())
}

/// Runs `rockdeal check` with a valid settings file and the given text of a subsystems file.
fn check(name: &str, subsystems: &str) -> Output {
    Command::new(env!("CARGO_BIN_EXE_rockdeal"))
        .arg("check")
        .arg("--config")
        .arg(write_settings(name))
        .arg("--subsystems")
        .arg(write_file(name, subsystems))
        .output()
        .expect("the program starts")
}

#[test]
fn check_prints_the_enabled_subsystems() {
    let off = check("off.toml", "");
    assert!(off.status.success(), "{off:?}");
    let printed = String::from_utf8_lossy(&off.stdout);
    assert!(
        printed.trim_end().ends_with("; blocks: 1"),
        "expected no enabled subsystem: {printed}"
    );
    let on = check("on.toml", "[zone-failover]\nenabled = true\n");
    assert!(on.status.success(), "{on:?}");
    assert!(
        String::from_utf8_lossy(&on.stdout)
            .trim_end()
            .ends_with("; on: zone-failover")
    );
}

#[test]
fn invalid_subsystems_file_is_refused_in_one_line_with_position_and_remedy() {
    let wrong = "[zone-failover]\n[[zone-failover.declared]]\nzone = \"w\"\nstate = \"out\"\n";
    let refused = check("wrong.toml", wrong);
    assert!(!refused.status.success());
    assert!(refused.stdout.is_empty());
    let printed = String::from_utf8_lossy(&refused.stderr);
    assert_eq!(printed.lines().count(), 1, "{printed}");
    let message = "wrong.toml, line 3, column 8: zone \"w\" is unknown; known are x, y";
    assert!(printed.trim_end().ends_with(message), "{printed}");
}

/// Runs the program. `files` are the settings file and the policy file, as far as they are given.
/// Returns the exit code, the standard output and the standard error.
fn run(args: &[&str], files: &[&PathBuf]) -> (Option<i32>, String, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_rockdeal"));
    command.args(args);
    for (option, file) in ["--config", "--policy"].iter().zip(files) {
        command.arg(option).arg(file);
    }
    let output = command.output().expect("the program starts");
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).expect("text");
    (
        output.status.code(),
        text(output.stdout),
        text(output.stderr),
    )
}

#[test]
fn check_and_policy_print_exactly_these_lines() {
    let file = write_settings("good");
    let checked = |more: &str| {
        let path = file.display();
        format!("{path}: fine; a block's lease is 20 s; blocks: 1{more}\n")
    };
    let result = run(&["check"], &[&file]);
    assert_eq!(result, (Some(0), checked(""), String::new()));
    let on = write_file("good.toml", "[zone-failover]\nenabled = true\n");
    let on = on.display().to_string();
    let result = run(&["check", "--subsystems", &on], &[&file]);
    assert_eq!(
        result,
        (Some(0), checked("; on: zone-failover"), String::new())
    );
    let policy = include_str!("../src/policy/default.policy").to_owned();
    assert_eq!(run(&["policy"], &[]), (Some(0), policy, String::new()));
}

#[test]
fn refused_files_print_one_line_with_their_exit_code() {
    let refusal = |code, error: String| (Some(code), String::new(), format!("rockdeal: {error}\n"));
    let needed = "--config FILE is needed; see rockdeal --help".to_owned();
    assert_eq!(run(&[], &[]), refusal(2, needed));
    let mut same = example();
    same["mesh_addr"] = same["bind"].clone();
    let good = write_settings("with-bad-policy");
    let [missing, broken, empty, same, policy] = [
        std::env::temp_dir().join("rockdeal-none/none.json"),
        write_file("broken.json", "{"),
        write_file("empty.json", "{}"),
        write_file("same.json", &same.to_string()),
        write_file("bad.policy", "\nsilnt_s = 5;"),
    ];
    let cases: [(&[&PathBuf], &str, &PathBuf, &str); 5] = [
        (
            &[&missing],
            "can't read settings file ",
            &missing,
            ": No such file or directory (os error 2)",
        ),
        (
            &[&broken],
            "settings file ",
            &broken,
            " is malformed: EOF while parsing an object at line 1 column 1",
        ),
        (
            &[&empty],
            "settings file ",
            &empty,
            " is malformed: missing field `label` at line 1 column 2",
        ),
        (
            &[&same],
            "settings file ",
            &same,
            ": bind and mesh_addr must differ, got 127.0.0.1:9000 for both",
        ),
        (
            &[&good, &policy],
            "policy file ",
            &policy,
            ", line 2, column 1: unknown setting silnt_s (did you mean silent_s?)",
        ),
    ];
    for (files, before, file, after) in cases {
        let expected = refusal(1, format!("{before}{}{after}", file.display()));
        assert_eq!(run(&["check"], files), expected);
        assert_eq!(
            run(&[], files),
            expected,
            "a controller must not start either"
        );
    }
    assert_eq!(run(&["chekc"], &[]).0, Some(2));
}
