//! The command line: what a check says of the subsystems file, and what is refused before
//! the start.

use serde_json::json;
use std::path::PathBuf;
use std::process::{Command, Output};

fn written(name: &str, text: &str) -> PathBuf {
    let dir = std::env::temp_dir().join(format!("rockdeal-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("a folder");
    let path = dir.join(name);
    std::fs::write(&path, text).expect("a file");
    path
}

fn settings() -> PathBuf {
    let settings = json!({
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
    });
    written("settings.json", &settings.to_string())
}

fn check(name: &str, subsystems: &str) -> Output {
    Command::new(env!("CARGO_BIN_EXE_rockdeal"))
        .arg("check")
        .arg("--config")
        .arg(settings())
        .arg("--subsystems")
        .arg(written(name, subsystems))
        .output()
        .expect("it runs")
}

#[test]
fn a_check_tells_which_subsystems_are_on() {
    let off = check("off.toml", "");
    assert!(off.status.success(), "{off:?}");
    let told = String::from_utf8_lossy(&off.stdout);
    assert!(
        told.trim_end().ends_with("; blocks: 1"),
        "nothing is on: {told}"
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
fn a_wrong_file_is_refused_in_one_line_with_place_and_remedy() {
    let wrong = "[zone-failover]\n[[zone-failover.declared]]\nzone = \"w\"\nstate = \"out\"\n";
    let refused = check("wrong.toml", wrong);
    assert!(!refused.status.success());
    assert!(refused.stdout.is_empty());
    let told = String::from_utf8_lossy(&refused.stderr);
    assert_eq!(told.lines().count(), 1, "{told}");
    let place = "wrong.toml, line 3, column 8: zone \"w\" is unknown; known are x, y";
    assert!(told.trim_end().ends_with(place), "{told}");
}
