//! The documentation agrees with the code.

use bridgevane::modules::serve::operators::query_language::parse;
use bridgevane_events::Event;
use expect_test::expect;

fn document(name: &str) -> String {
    let path = std::path::Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("docs")
        .join(name);
    std::fs::read_to_string(path).expect("the document is there")
}

/// Guards against events that the catalogue misses, has under another text, or has although they
/// were removed.
#[test]
fn the_catalogue_contains_every_event_and_no_other() {
    let catalogue = document("EVENTS.md");
    let rows: Vec<&str> = catalogue
        .lines()
        .filter(|line| line.starts_with("| 1"))
        .collect();
    let expected: Vec<String> = Event::ALL
        .iter()
        .map(|event| {
            let level = event.level().as_str().to_lowercase();
            format!(
                "| {} | {} | {level} | {} |",
                event.number(),
                event.name(),
                event.text()
            )
        })
        .collect();
    for row in &expected {
        assert!(
            rows.iter().any(|found| found.starts_with(row)),
            "missing: {row}"
        );
    }
    assert_eq!(rows.len(), expected.len());
    let mut numbers: Vec<u32> = Event::ALL.iter().map(|event| event.number()).collect();
    numbers.dedup();
    assert_eq!(numbers.len(), expected.len(), "every number is unique");
}

/// Guards against examples of statements that the parser refuses.
#[test]
fn the_statements_of_the_language_page_can_be_parsed() {
    let page = document("LANGUAGE.md");
    let statements: Vec<&str> = page
        .lines()
        .filter_map(|line| line.strip_prefix("    > "))
        .collect();
    assert!(statements.len() >= 12, "{statements:?}");
    for statement in statements {
        parse(statement).unwrap_or_else(|error| panic!("{error}"));
    }
}

/// Guards against errors of the parser that point at a wrong place or change unnoticed.
#[test]
fn errors_of_the_parser_point_at_the_wrong_word() {
    let wrong = [
        "shwo requests",
        "show request",
        "show requests when class = booking",
        "show requests where class booking",
        "show requests where class = booking or age > 2s",
        "show vms now",
        "set class booking tier 3",
        "drain vm",
        "explain request 12x",
        "show requests where class = \"booking",
    ];
    let errors: Vec<String> = wrong
        .iter()
        .map(|statement| parse(statement).expect_err(statement).to_string())
        .collect();
    expect![[r#"
        shwo requests
        ^
        'shwo' is not known here; expected one of show, explain, set, roll, drain, undrain

        show request
             ^
        'request' is not known here; expected one of requests, engines, vms, classes, burn, customers, rollouts, config, history

        show requests when class = booking
                      ^
        'when' is not expected; expected 'where'

        show requests where class booking
                                  ^
        'booking' is not known here; expected one of =, !=, <, <=, >, >=

        show requests where class = booking or age > 2s
                                            ^
        'or' is not expected; expected 'and'

        show vms now
                 ^
        'now' is not expected; expected 'where'

        set class booking tier 3
                               ^
        '3' is not expected; expected '='

        drain vm
                ^
        the statement ends here; expected a VM

        explain request 12x
                        ^
        not an id; expected a request's id, as in req-0123…

        show requests where class = "booking
                                    ^
        this can't be read; close quotes with '"'
    "#]].assert_eq(&(errors.join("\n\n") + "\n"));
}
