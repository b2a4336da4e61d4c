//! The server process of hollow gateways: gateways discover each other, stop at the end of input and bind to loopback only.

use serde_json::{Value, json};
use std::io::Write;
use std::process::{Command, Output, Stdio};
use std::time::Duration;

fn file(i: u8, listen: &str) -> Value {
    json!({
        "fleet": "site0", "gateway": format!("g{i}"), "listen": listen, "seeds": ["127.98.0.1:7811"],
        "keys": [{"id": 1, "secret": "17".repeat(32)}],
        "feed": {
            "name": "loop", "site": "site0",
            "streams": [{"name": "s0", "address": "127.0.0.1:1", "known": 1}],
            "hubs": [{"name": "h0", "address": "127.98.0.9:7811", "public": "17".repeat(32)}],
        },
    })
}

fn serve(name: &str, files: &[Value], run_time: Duration) -> Output {
    let path = std::env::temp_dir().join(format!("kelpcart-hollow-{name}-{}", std::process::id()));
    std::fs::write(&path, json!(files).to_string()).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_kelpcart-scale"));
    command.arg("hollow").arg("--files").arg(&path);
    command.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(Stdio::piped());
    let mut child = command.spawn().unwrap();
    let mut input = child.stdin.take().unwrap();
    std::thread::sleep(run_time);
    // Fails if the process has rejected its settings and exited.
    _ = writeln!(input, "7 1700000000000000");
    drop(input);
    let output = child.wait_with_output().unwrap();
    _ = std::fs::remove_file(path);
    output
}

#[test]
fn hollow_gateways_communicate_and_report_missed_purges() {
    let files = [1, 2, 3].map(|i| file(i, &format!("127.98.0.{i}:7811")));
    let output = serve("talk", &files, Duration::from_millis(2_500));
    assert!(output.status.success(), "{output:?}");
    let reports: Vec<Value> = serde_json::from_slice(&output.stdout).unwrap();
    let names: Vec<&str> = reports.iter().filter_map(|s| s["name"].as_str()).collect();
    assert_eq!(names, ["g1", "g2", "g3"]);
    // Without a hub, the tracked purge does not arrive and is reported as missing.
    assert!(reports.iter().all(|s| s["missing"] == 1 && s["datagrams_in"].as_u64() > Some(2)), "{reports:?}");
}

#[test]
fn an_address_outside_loopback_is_rejected() {
    let output = serve("outside", &[file(1, "0.0.0.0:7811")], Duration::from_millis(200));
    assert_eq!(output.status.code(), Some(2));
    assert!(String::from_utf8_lossy(&output.stderr).contains("127.0.0.0/8"), "{output:?}");
}
