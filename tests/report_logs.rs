//! `bridgevane report logs`, `report request` and `report tree` on log files.

use std::fs;
use std::io::Write;
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};

const REFUSED: &str = r#"{"at":"2026-12-02T16:00:01.250Z","level":"INFO","text":"the gateway refused a request","vm":"vm-a","data_centre":"z","event":1306,"request":"a3","route":"chat","customer":"c-1","reason":"overloaded","status":"503","held_ms":"1"}"#;
const FAILED: &str = r#"{"at":"2026-12-02T16:00:01.200Z","level":"WARN","text":"t","vm":"vm-a","data_centre":"z","event":1308,"request":"a3","endpoint":"i-7","route":"chat","customer":"c-1","cause":"not_executed","resend":"budget_empty"}"#;

fn log_file(name: &str, lines: &[&str]) -> PathBuf {
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&file, lines.join("\n")).expect("it can be written");
    file
}

fn report(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_bridgevane"))
        .arg("report")
        .args(arguments)
        .output()
        .expect("the program runs")
}

fn text(output: &Output) -> String {
    String::from_utf8(output.stdout.clone()).expect("text")
}

/// Guards against events of a request that the report misses or shows out of order when they are in
/// several files, and against unreadable lines that aren't mentioned.
#[test]
fn the_report_of_a_request_shows_its_events_of_all_files_in_order() {
    let one = log_file("one.log", &[REFUSED]);
    let two = log_file("two.log", &[FAILED, "cut {\"at\":"]);
    let files = [one.to_str().unwrap(), two.to_str().unwrap()];
    let output = report(&["request", "a3", files[0], files[1]]);
    assert!(output.status.success(), "{output:?}");
    let printed = text(&output);
    let order = [
        "1308",
        "1306",
        "a3: refused: overloaded",
        "not all was read: 1 lines",
    ];
    let found: Vec<usize> = order
        .iter()
        .map(|part| {
            printed
                .find(part)
                .unwrap_or_else(|| panic!("{part}: {printed}"))
        })
        .collect();
    assert!(found.is_sorted(), "{printed}");
    let unknown = report(&["request", "b9", files[0]]);
    assert_eq!(unknown.status.code(), Some(1));
}

/// Guards against logs that the summary leaves out, in each of its forms.
#[test]
fn the_summary_of_logs_is_shown_as_tables_json_and_a_plot() {
    let log = log_file("all.log", &[REFUSED, FAILED]);
    let log = log.to_str().unwrap();
    let svg = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("logs.svg");
    let output = report(&["logs", log, "--svg", svg.to_str().unwrap()]);
    assert!(output.status.success(), "{output:?}");
    let printed = text(&output);
    for part in ["overloaded", "not_executed", "i-7", "c-1", "chat", "vm-a"] {
        assert!(printed.contains(part), "{part}: {printed}");
    }
    assert!(fs::read_to_string(svg).expect("drawn").starts_with("<svg"));
    let json = text(&report(&["logs", "--json", log]));
    let json: serde_json::Value = serde_json::from_str(&json).expect("JSON");
    assert_eq!(json["total"]["refused"], 1);
    assert_eq!(json["by_endpoint"][0]["name"], "(not said)");
    assert_eq!(json["read"]["events"], 2);
    let missing = report(&["logs", "/nowhere.log"]);
    assert_eq!(missing.status.code(), Some(2));
}

fn started(vm: &str, peers: &str) -> String {
    format!(
        r#"{{"at":"2026-12-02T16:00:00.000Z","event":1001,"vm":"{vm}","data_centre":"z","peers":"{peers}"}}"#
    )
}

fn follows(vm: &str, second: u32, upstream: &str) -> String {
    format!(
        r#"{{"at":"2026-12-02T16:00:0{second}.000Z","event":1208,"vm":"{vm}","data_centre":"z","upstream":"{upstream}"}}"#
    )
}

/// Guards against cycles of followers that the report doesn't show: in a large deployment, daemons
/// of whole data centres followed each other in cycles, and no report showed it.
#[test]
fn the_report_of_the_tree_of_followers_shows_cycles() {
    let lines = [
        started("a", "10.0.0.1:1"),
        started("b", "10.0.0.2:1"),
        started("c", "10.0.0.3:1"),
        started("d", "10.0.0.4:1"),
        follows("a", 1, "source"),
        follows("b", 1, "10.0.0.1:1"),
        follows("c", 1, "10.0.0.2:1"),
        follows("d", 1, "10.0.0.3:1"),
        // b and c follow each other and d follows c; the upstream of e is unknown.
        follows("b", 3, "10.0.0.3:1"),
        follows("e", 3, "10.0.0.9:1"),
    ];
    let lines: Vec<&str> = lines.iter().map(String::as_str).collect();
    let log = log_file("tree.log", &lines);
    let log = log.to_str().unwrap();
    let at = |moment: &str| {
        let output = report(&["tree", log, "--json", "--at", moment]);
        assert!(output.status.success(), "{output:?}");
        let json: serde_json::Value = serde_json::from_str(&text(&output)).expect("JSON");
        json["trees"][0]["data_centres"][0].clone()
    };
    let before = at("2026-12-02T16:00:02Z");
    assert_eq!(before["daemons"], 4);
    assert_eq!(before["at_source"], 1);
    assert_eq!(before["depth"], 4);
    assert_eq!(before["in_circles"], 0);
    let after = at("2026-12-02T16:00:03Z");
    assert_eq!(after["in_circles"], 2);
    assert_eq!(after["below_circles"], 1);
    assert_eq!(after["unknown"], 1);
    assert_eq!(after["depth"], 1);
    let table = text(&report(&["tree", log]));
    assert!(table.contains("at the source"), "{table}");
    let no_tree = log_file("no-tree.log", &[REFUSED]);
    assert_eq!(
        report(&["tree", no_tree.to_str().unwrap()]).status.code(),
        Some(1)
    );
}

/// Guards against a `-` that the parser of the command line takes for an option, although the help
/// says that it is standard input.
#[test]
fn a_dash_is_standard_input_for_every_report_on_logs() {
    for arguments in [&["logs", "-"][..], &["request", "a3", "-"], &["tree", "-"]] {
        let mut program = Command::new(env!("CARGO_BIN_EXE_bridgevane"))
            .arg("report")
            .args(arguments)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .spawn()
            .expect("the program runs");
        let mut input = program.stdin.take().expect("a pipe");
        // The program may end before it has read everything.
        let _ = writeln!(input, "{REFUSED}");
        drop(input);
        let output = program.wait_with_output().expect("it ends");
        let errors = String::from_utf8_lossy(&output.stderr);
        assert!(!errors.contains("Unrecognized"), "{arguments:?}: {errors}");
        if arguments[0] != "tree" {
            assert!(text(&output).contains("overloaded"), "{output:?}");
        }
    }
}
