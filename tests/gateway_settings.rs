//! Settings of the gateway on the command line: the resulting values, and refused settings.

use std::process::{Command, Output};

/// Runs the gateway with the required settings and these flags, and with `--print-settings`.
fn print_settings(flags: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_bridgevane"))
        .args(["gateway", "--print-settings", "--vm-id", "a"])
        .args(["--data-centre", "z"])
        .args(["--client-address", "127.0.0.1:1"])
        .args(["--ready-address", "127.0.0.1:2"])
        .args(["--store-address", "127.0.0.1:3"])
        .args(flags)
        .output()
        .expect("the program runs")
}

fn printed_settings(flags: &[&str]) -> String {
    let output = print_settings(flags);
    assert!(output.status.success(), "{output:?}");
    String::from_utf8(output.stdout).expect("text")
}

fn refusal(flags: &[&str]) -> String {
    let output = print_settings(flags);
    assert_eq!(output.status.code(), Some(2), "{output:?}");
    String::from_utf8(output.stderr).expect("text")
}

/// Returns the milliseconds of a setting as `--print-settings` shows them.
fn milliseconds(settings: &str, name: &str) -> u64 {
    let from = settings
        .find(name)
        .unwrap_or_else(|| panic!("{name}: {settings}"));
    let digits = settings[from..].chars().skip_while(|c| !c.is_ascii_digit());
    let digits: String = digits.take_while(char::is_ascii_digit).collect();
    digits.parse().expect("a number")
}

/// Guards against a default with which a removed key works longer than the set bound.
#[test]
fn strict_key_removal_is_the_default_and_serves_no_stale_configuration() {
    let settings = printed_settings(&["--key-removal-ms", "5000"]);
    assert_eq!(milliseconds(&settings, "proof_lifetime_ms"), 4_700);
    assert_eq!(milliseconds(&settings, "max_stale_age_ms"), 4_700);
}

/// Guards against an outage that stops a gateway although strict key removal is off.
#[test]
fn without_strict_key_removal_a_stale_configuration_is_served_for_6_h_or_the_time_set() {
    let settings = printed_settings(&["--strict-key-removal", "false"]);
    assert_eq!(milliseconds(&settings, "proof_lifetime_ms"), 4_700);
    assert_eq!(milliseconds(&settings, "max_stale_age_ms"), 21_600_000);
    let settings = printed_settings(&["--strict-key-removal", "false", "--max-stale-s", "60"]);
    assert_eq!(milliseconds(&settings, "max_stale_age_ms"), 60_000);
}

/// Guards against a data centre without a region that is accepted silently.
#[test]
fn regions_are_pairs_of_a_data_centre_and_its_region() {
    let settings = printed_settings(&["--regions", "z=north,y=south"]);
    assert!(settings.contains("\"north\""), "{settings}");
    let refused = refusal(&["--regions", "z=north,y"]);
    assert!(refused.contains("regions"), "{refused}");
}

/// Guards against settings without effect: a contradiction or invalid value must be reported at the
/// start.
#[test]
fn contradicting_and_invalid_settings_are_refused() {
    let strict = refusal(&["--max-stale-s", "60"]);
    assert!(strict.contains("--strict-key-removal false"), "{strict}");
    let too_long = refusal(&["--strict-key-removal", "false", "--max-stale-s", "604801"]);
    assert!(too_long.contains("at most 604800"), "{too_long}");
    let no_value = refusal(&["--strict-key-removal", "maybe"]);
    assert!(no_value.contains("true or false"), "{no_value}");
}

/// Guards against a gateway that takes up duties without an address of the platform, and against
/// one that refuses to start because of a duty of a later version.
#[test]
fn there_are_no_duties_without_an_address_and_a_known_duty() {
    for flags in [
        &[][..],
        &["--duties", "usage_report"],
        &["--duty-address", "127.0.0.1:4"],
        &[
            "--duty-address",
            "127.0.0.1:4",
            "--duties",
            "of_a_later_version",
        ],
    ] {
        assert!(
            printed_settings(flags).contains("duties: None"),
            "{flags:?}"
        );
    }
}

/// Guards against a lease or window that differs from what the platform expects.
#[test]
fn duties_have_the_platform_s_times_unless_set() {
    let duties = [
        "--duties",
        "usage_report,autoscale,later",
        "--duty-address",
        "127.0.0.1:4",
    ];
    let settings = printed_settings(&duties);
    assert_eq!(milliseconds(&settings, "lease_ms"), 3_000);
    assert_eq!(milliseconds(&settings, "width_ms"), 5_000);
    assert_eq!(milliseconds(&settings, "late_ms"), 10_000);
    assert!(settings.contains("orders_engines: true"), "{settings}");
    let times = [
        "--lease-ms",
        "2500",
        "--usage-window-s",
        "60",
        "--usage-late-s",
        "90",
    ];
    let settings = printed_settings(&[&duties[..], &times[..]].concat());
    assert_eq!(milliseconds(&settings, "lease_ms"), 2_500);
    assert_eq!(milliseconds(&settings, "width_ms"), 60_000);
    assert_eq!(milliseconds(&settings, "late_ms"), 90_000);
}

/// Guards against a lease under which no holder can act: with a lease of 1 s it expired during a
/// call, which may take as long.
#[test]
fn a_lease_that_leaves_no_time_for_a_call_is_refused() {
    let refused = refusal(&["--lease-ms", "1999"]);
    assert!(refused.contains("at least 2000"), "{refused}");
}

/// Guards against a usage window below the minimum of 1 s.
#[test]
fn a_usage_window_below_the_minimum_is_refused() {
    let refused = refusal(&["--usage-window-s", "0.5"]);
    assert!(refused.contains("at least 1000 ms"), "{refused}");
}

/// Guards against a gateway that doesn't start where a deployment sets variables to empty values:
/// the deploy file fills them from settings that a platform without duties doesn't have.
#[test]
fn an_empty_variable_counts_as_not_set() {
    let output = Command::new(env!("CARGO_BIN_EXE_bridgevane"))
        .args(["gateway", "--print-settings", "--vm-id", "a"])
        .args(["--data-centre", "z", "--client-address", "127.0.0.1:1"])
        .args([
            "--ready-address",
            "127.0.0.1:2",
            "--store-address",
            "127.0.0.1:3",
        ])
        .env("BRIDGEVANE_DUTY_ADDRESS", "")
        .env("BRIDGEVANE_LEASE_MS", "")
        .output()
        .expect("the program runs");
    assert!(output.status.success(), "{output:?}");
}
