//! Tests reports on logs, including logs that are cut, mixed or of another version.

use bridgevane_log_report::{
    Dimension, LogReader, ReachHistory, ReachQuery, ReadCounts, RequestHistory, Summary, TryCounts,
    timeline_svg,
};
use std::collections::BTreeSet;

/// Returns a line of the gateway with the fields that all lines have.
fn line(second: u64, vm: &str, event: u32, fields: &str) -> String {
    format!(
        r#"{{"at":"2026-12-02T16:00:{second:02}.250Z","level":"INFO","text":"t","vm":"{vm}","data_centre":"dc-{vm}","event":{event},{fields}}}"#
    )
}

fn refused(second: u64, request: &str, reason: &str) -> String {
    let fields = format!(
        r#""request":"{request}","route":"chat","customer":"c-1","reason":"{reason}","status":"503""#
    );
    line(second, "a", 1306, &fields)
}

fn failed(second: u64, request: &str, endpoint: &str, resend: &str) -> String {
    let fields = format!(
        r#""request":"{request}","endpoint":"{endpoint}","route":"chat","customer":"c-2","cause":"broken","resend":"{resend}""#
    );
    line(second, "b", 1308, &fields)
}

fn retry(second: u64, request: &str, is_granted: bool) -> String {
    let fields = format!(
        r#""request":"{request}","service":"model","route":"chat","customer":"c-2","is_granted":"{is_granted}""#
    );
    line(second, "b", 1314, &fields)
}

fn served(second: u64, request: &str, runs: u32, queue_ms: u64) -> String {
    let fields = format!(
        r#""request":"{request}","endpoint":"i-1","route":"chat","customer":"c-2","status":"200","runs":"{runs}","queue_ms":"{queue_ms}""#
    );
    line(second, "b", 1305, &fields)
}

fn read(text: &str) -> (Summary, ReadCounts) {
    let mut summary = Summary::default();
    let mut reader = LogReader::default();
    let done = reader.read(text.as_bytes(), |line, _| summary.add(&line));
    done.expect("reading from memory succeeds");
    (summary, reader.counts().clone())
}

/// Granted and denied retries must be added up over the daemons of a fleet, because its retry
/// budget is shared.
#[test]
fn retries_are_counted_by_service_vm_and_second() {
    let text = [
        retry(1, "r1", true),
        retry(1, "r2", true),
        retry(2, "r3", false),
    ]
    .join("\n");
    let (summary, read) = read(&text);
    assert_eq!((read.events, read.unread()), (3, 0));
    for dimension in [Dimension::Service, Dimension::Vm] {
        let rows = summary.rows(dimension);
        let counts: Vec<_> = rows.iter().map(|row| row.counts).collect();
        let retries: Vec<_> = counts
            .iter()
            .map(|counts| (counts.retries_granted, counts.retries_denied))
            .collect();
        assert_eq!(retries, [(2, 1)], "{dimension}");
    }
    let by_second: Vec<_> = summary
        .timeline()
        .buckets()
        .map(|bucket| (bucket.counts.retries_granted, bucket.counts.retries_denied))
        .collect();
    assert_eq!(by_second, [(2, 0), (0, 1)]);
}

/// Only one plain success in sixteen is logged, so that the estimate must multiply these and no
/// others.
#[test]
fn requests_are_counted_by_reason_endpoint_customer_and_data_centre() {
    let text = [
        refused(1, "r1", "not_ready"),
        refused(1, "r2", "not_ready"),
        refused(2, "r3", "overloaded"),
        failed(2, "r4", "i-1", "yes"),
        failed(2, "r5", "i-2", "budget_empty"),
        served(3, "r4", 2, 40),
        served(3, "r6", 1, 10),
    ]
    .join("\n");
    let (summary, read) = read(&text);
    assert_eq!((read.events, read.unread()), (7, 0));
    let total = summary.total().counts;
    assert_eq!(
        (total.refused, total.failed_attempts, total.resent),
        (3, 2, 1)
    );
    // A plain success represents sixteen; a success after a retry represents itself.
    assert_eq!(total.served_estimate, 17);
    let row_of = |dimension, name: &str| {
        let rows = summary.rows(dimension);
        let row = rows.into_iter().find(|row| row.name == name);
        row.unwrap_or_else(|| panic!("{name} has a row"))
    };
    assert_eq!(row_of(Dimension::Reason, "not_ready").counts.refused, 2);
    assert_eq!(
        row_of(Dimension::Reason, "broken").counts.failed_attempts,
        2
    );
    assert_eq!(row_of(Dimension::Endpoint, "i-2").counts.failed_attempts, 1);
    assert_eq!(row_of(Dimension::Customer, "c-1").counts.refused, 3);
    assert_eq!(
        row_of(Dimension::DataCentre, "dc-b").counts.failed_attempts,
        2
    );
    assert_eq!(row_of(Dimension::Vm, "a").counts.refused, 3);
    let queues = row_of(Dimension::Endpoint, "i-1");
    assert_eq!(
        (queues.queue_p50_ms, queues.queue_p99_ms),
        (Some(10), Some(40))
    );
    let by_second: Vec<u64> = summary
        .timeline()
        .buckets()
        .map(|bucket| bucket.counts.refused)
        .collect();
    assert_eq!(by_second, [2, 1, 0]);
    let svg = timeline_svg(summary.timeline()).expect("the plot is drawn");
    assert!(svg.starts_with("<svg") && svg.contains("refused"), "{svg}");
}

/// Lines of other programs, cut lines, unknown events and dropped lines must be counted: a report
/// that skipped them silently would look complete.
#[test]
fn unreadable_lines_are_counted_and_the_first_is_kept() {
    let whole = refused(1, "r1", "overloaded");
    let cut = &whole[..whole.len() / 2];
    let text = [
        "thread 'main' panicked at nothing",
        cut,
        r#"{"level":"INFO","text":"t"}"#,
        &line(1, "a", 9_999, r#""request":"r2""#),
        r#"{"level":"WARN","text":"log lines dropped","dropped":7}"#,
        &format!("12.500 edge-a-1 | {whole}"),
        "",
    ]
    .join("\n");
    let (summary, read) = read(&text);
    assert_eq!(read.events, 1, "an event after a log collector's prefix");
    assert_eq!(summary.total().counts.refused, 1);
    let unread = (read.not_json, read.no_event, read.unknown_events);
    assert_eq!(unread, (2, 1, 1));
    assert_eq!(read.dropped_by_daemons, 7);
    let first = read.first_unread.expect("an example");
    assert!(first.starts_with("thread 'main'"), "{first}");
}

/// A file without line ends must not fill the memory, and the lines after a too long one must be
/// read.
#[test]
fn a_too_long_line_is_counted_as_unreadable() {
    let text = format!(
        "{{{}\n{}",
        "x".repeat(1 << 20),
        refused(1, "r1", "not_ready")
    );
    let (summary, read) = read(&text);
    assert_eq!((read.not_json, summary.total().counts.refused), (1, 1));
}

/// The memory of a report must stay bounded for long logs and for many endpoints, without losing
/// counts.
#[test]
fn long_logs_get_wider_buckets_and_many_endpoints_share_a_row() {
    let mut text = String::new();
    for minute in 0..4_000_u64 {
        let (day, hour, minute_of) = (1 + minute / 1_440, minute / 60 % 24, minute % 60);
        text.push_str(&format!(
            r#"{{"at":"2026-12-{day:02}T{hour:02}:{minute_of:02}:00Z","event":1308,"endpoint":"i-{minute}","cause":"silent"}}"#
        ));
        text.push('\n');
    }
    for endpoint in 4_000..5_000 {
        text.push_str(&failed(1, "r", &format!("i-{endpoint}"), "yes"));
        text.push('\n');
    }
    let (summary, _) = read(&text);
    assert!(summary.timeline().buckets().count() <= 3_600);
    let total: u64 = summary
        .timeline()
        .buckets()
        .map(|bucket| bucket.counts.failed_attempts)
        .sum();
    assert_eq!(total, 5_000, "no count is lost");
    let rows = summary.rows(Dimension::Endpoint);
    assert_eq!(rows.len(), 4_097);
    assert_eq!(
        (rows[0].name.as_str(), rows[0].counts.failed_attempts),
        ("(others)", 904)
    );
}

/// The logs of several daemons are read one after the other, and other requests' lines are between.
#[test]
fn lines_of_a_request_are_collected_from_all_daemons_in_order_of_time() {
    let one = [
        failed(5, "r1", "i-2", "yes"),
        failed(5, "other", "i-2", "yes"),
    ];
    let two = [
        failed(3, "r1", "i-1", "yes"),
        refused(7, "r1", "overloaded"),
    ];
    let mut history = RequestHistory::new("r1");
    let mut reader = LogReader::default();
    for log in [one, two] {
        let text = log.join("\n");
        let done = reader.read(text.as_bytes(), |line, text| history.add(&line, text));
        done.expect("reading from memory succeeds");
    }
    let lines = history.lines();
    let events: Vec<u32> = lines.iter().map(|line| line.event).collect();
    assert_eq!(events, [1308, 1308, 1306]);
    assert!(lines[0].fields.contains(&"endpoint=i-1".to_owned()));
    assert_eq!((lines[0].vm.as_str(), lines[2].vm.as_str()), ("b", "a"));
    assert_eq!(history.verdict(), "refused: overloaded");
    let unknown = RequestHistory::new("r9");
    assert!(unknown.verdict().starts_with("no line"));
}

/// The verdict must name shedding, a resumption and a missing outcome, which the last line alone
/// doesn't show.
#[test]
fn verdicts_describe_each_outcome() {
    let verdict = |lines: &[String]| {
        let mut history = RequestHistory::new("r1");
        let text = lines.join("\n");
        let mut reader = LogReader::default();
        let done = reader.read(text.as_bytes(), |line, text| history.add(&line, text));
        done.expect("reading from memory succeeds");
        history.verdict()
    };
    let shed = line(1, "a", 1310, r#""request":"r1","line_ms":"194""#);
    let refusal = refused(1, "r1", "overloaded");
    assert_eq!(
        verdict(&[shed, refusal]),
        "refused: overloaded (shed: the queue was too long, see 1310)"
    );
    let cut = line(
        1,
        "a",
        1307,
        r#""request":"r1","cause":"the endpoint broke off","resend":"not_resumable""#,
    );
    assert_eq!(
        verdict(&[cut]),
        "cut off: the endpoint broke off; sent again: not_resumable"
    );
    let resumed = line(2, "a", 1309, r#""request":"r1","after":"3""#);
    assert_eq!(
        verdict(&[resumed, served(3, "r1", 2, 0)]),
        "answered with status 200, after it was resumed"
    );
    assert!(verdict(&[failed(1, "r1", "i-1", "yes")]).starts_with("no line says how it ended"));
}

fn tries(vm: &str, second: u64, route: &str, served: u64, through: u64, left: u64) -> String {
    let fields = format!(
        r#""second":"{second}","service":"model","route":"{route}","served":"{served}","served_by_daemons":"{through}","server_errors":"0","refused":"1","broken_off":"0","clients_left":"{left}""#
    );
    line(0, vm, 1317, &fields)
}

fn reach_history(lines: &[String]) -> ReachHistory {
    let mut history = ReachHistory::default();
    let mut reader = LogReader::default();
    let text = lines.join("\n");
    let read = reader.read(text.as_bytes(), |line, _| history.add(&line));
    read.expect("a text can be read");
    history
}

/// Guards against a route whose callers are served badly at daemons that are cut off, and that a sum
/// over all routes or all daemons hides.
#[test]
fn tries_at_daemons_that_were_cut_off_are_compared_with_the_others_by_route() {
    let history = reach_history(&[
        line(0, "cut", 1418, r#""service":"model""#),
        tries("cut", 10, "chat", 90, 80, 9),
        tries("cut", 10, "report", 0, 0, 9),
        tries("cut", 11, "chat", 5, 5, 4),
        tries("fine", 10, "chat", 99, 0, 0),
        tries("fine", 10, "report", 9, 0, 0),
        tries("fine", 5, "chat", 0, 0, 50),
        line(
            10,
            "cut",
            1306,
            r#""route":"-","reason":"not_ready","status":"503""#,
        ),
    ]);
    let query = ReachQuery {
        from_s: 10,
        until_s: 12,
        cut_off: BTreeSet::from(["cut".to_owned()]),
    };
    let rows = history.compare(&query);
    let row = |route: Option<&str>, second: Option<u64>| {
        let found = rows.iter().find(|row| {
            row.service == "model" && row.route.as_deref() == route && row.second == second
        });
        found.expect("a row")
    };
    let chat = row(Some("chat"), None);
    assert_eq!(
        chat.cut_off,
        TryCounts {
            tries: 110,
            served: 95,
            served_by_daemons: 85,
            server_errors: 0
        }
    );
    assert_eq!(chat.others.tries, 100);
    assert_eq!(row(Some("report"), None).ratio(), Some(0.0));
    assert_eq!(row(None, Some(1)).cut_off.tries, 10);
    assert_eq!(row(None, Some(1)).ratio(), None, "no tries at the others");
}

/// Guards against a comparison with the wrong daemons when none are named.
#[test]
fn the_daemons_that_found_a_service_out_of_reach_are_the_ones_that_were_cut_off() {
    let history = reach_history(&[
        line(0, "cut", 1418, r#""service":"model""#),
        line(30, "later", 1418, r#""service":"model""#),
        line(0, "fine", 1419, r#""service":"model""#),
    ]);
    let from_s = history.first_out_of_reach_s().expect("a line says so");
    let query = ReachQuery {
        from_s,
        until_s: from_s + 10,
        cut_off: BTreeSet::new(),
    };
    assert_eq!(history.cut_off(&query), BTreeSet::from(["cut".to_owned()]));
}
