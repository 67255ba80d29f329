//! Settings of the gateway on the command line: what they come to, and what is refused.

use std::process::{Command, Output};

/// What every gateway needs, and these flags; the settings are printed.
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

fn printed(flags: &[&str]) -> String {
    let output = print_settings(flags);
    assert!(output.status.success(), "{output:?}");
    String::from_utf8(output.stdout).expect("text")
}

fn refused(flags: &[&str]) -> String {
    let output = print_settings(flags);
    assert_eq!(output.status.code(), Some(2), "{output:?}");
    String::from_utf8(output.stderr).expect("text")
}

/// The number of milliseconds of a setting, as `--print-settings` shows it.
fn milliseconds(settings: &str, name: &str) -> u64 {
    let from = settings
        .find(name)
        .unwrap_or_else(|| panic!("{name}: {settings}"));
    let digits = settings[from..].chars().skip_while(|c| !c.is_ascii_digit());
    let digits: String = digits.take_while(char::is_ascii_digit).collect();
    digits.parse().expect("a number")
}

#[test]
fn strict_removal_of_keys_is_the_default_and_serves_nothing_stale() {
    let settings = printed(&["--key-removal-ms", "5000"]);
    assert_eq!(milliseconds(&settings, "proof_lifetime_ms"), 4_700);
    assert_eq!(milliseconds(&settings, "max_stale_age_ms"), 4_700);
}

#[test]
fn where_removal_is_not_strict_a_stale_configuration_is_served_for_hours_or_as_long_as_set() {
    let settings = printed(&["--strict-key-removal", "false"]);
    assert_eq!(milliseconds(&settings, "proof_lifetime_ms"), 4_700);
    assert_eq!(milliseconds(&settings, "max_stale_age_ms"), 21_600_000);
    let settings = printed(&["--strict-key-removal", "false", "--max-stale-s", "60"]);
    assert_eq!(milliseconds(&settings, "max_stale_age_ms"), 60_000);
}

#[test]
fn regions_are_pairs_of_a_data_centre_and_its_region() {
    let settings = printed(&["--regions", "z=north,y=south"]);
    assert!(settings.contains("\"north\""), "{settings}");
    let refused = refused(&["--regions", "z=north,y"]);
    assert!(refused.contains("regions"), "{refused}");
}

#[test]
fn settings_that_contradict_each_other_or_are_no_value_are_refused() {
    let strict = refused(&["--max-stale-s", "60"]);
    assert!(strict.contains("--strict-key-removal false"), "{strict}");
    let too_long = refused(&["--strict-key-removal", "false", "--max-stale-s", "604801"]);
    assert!(too_long.contains("at most 604800"), "{too_long}");
    let no_value = refused(&["--strict-key-removal", "maybe"]);
    assert!(no_value.contains("true or false"), "{no_value}");
}

#[test]
fn duties_are_none_unless_the_platform_has_an_address_and_a_known_one() {
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
        assert!(printed(flags).contains("duties: None"), "{flags:?}");
    }
}

#[test]
fn duties_have_the_platform_s_times() {
    let duties = [
        "--duties",
        "usage_report,autoscale,later",
        "--duty-address",
        "127.0.0.1:4",
    ];
    let settings = printed(&duties);
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
    let settings = printed(&[&duties[..], &times[..]].concat());
    assert_eq!(milliseconds(&settings, "lease_ms"), 2_500);
    assert_eq!(milliseconds(&settings, "width_ms"), 60_000);
    assert_eq!(milliseconds(&settings, "late_ms"), 90_000);
}

/// Under a lease of a second no holder ever acted: a call may take as long.
#[test]
fn a_lease_that_leaves_no_time_for_a_call_is_refused() {
    let refused = refused(&["--lease-ms", "1999"]);
    assert!(refused.contains("at least 2000"), "{refused}");
}

#[test]
fn a_window_of_usage_that_is_too_short_is_refused() {
    let refused = refused(&["--usage-window-s", "0.5"]);
    assert!(refused.contains("at least 1000 ms"), "{refused}");
}

/// The deploy file fills variables from settings that a platform without duties doesn't have.
#[test]
fn an_empty_variable_counts_as_not_given() {
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
