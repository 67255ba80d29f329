//! Tests of the document's checks, deltas and envelope, and of the example documents.

use bridgevane_config::{Delta, DeltaError, Document, Envelope, OperationStatus, Sections};
use bridgevane_types::{ConfigVersion, DurationMs, OperationId, Tier};
use expect_test::expect;

const RAVATON: &str = include_str!("../../../examples/ravaton.toml");
const SOLCATA: &str = include_str!("../../../examples/solcata.toml");

fn solcata() -> Document {
    Document::parse(SOLCATA).expect("the example is valid")
}

/// Guards against a change of the format that makes the example documents invalid or drops entries.
#[test]
fn the_example_documents_are_valid_and_have_the_expected_sizes() {
    let ravaton = Document::parse(RAVATON).expect("the example is valid");
    assert_eq!(ravaton.customer.len(), 10);
    assert_eq!(ravaton.service["tutor-model"].engine.len(), 10);
    assert_eq!(ravaton.service["desk-app"].engine.len(), 3);
    let solcata = solcata();
    assert_eq!(solcata.customer.len(), 10);
    assert_eq!(solcata.service["lm-pool"].engine.len(), 12);
    assert_eq!(solcata.service["cab-api"].engine.len(), 3);
    for document in [ravaton, solcata] {
        let engines = document
            .service
            .values()
            .flat_map(|service| service.engine.values());
        let data_centres: std::collections::BTreeSet<_> =
            engines.map(|engine| engine.data_centre.clone()).collect();
        assert_eq!(data_centres.len(), 3);
    }
}

/// Guards against a check that stops at the first problem, and against messages without place,
/// value or remedy.
#[test]
fn all_problems_are_reported_at_once_with_their_remedies() {
    let text = r#"
[class.booking]
tier = 0
first_token_target_ms = 0
min_share = 0.4
[class.note]
tier = 1
first_token_target_ms = 10
min_share = 1.4
[kind.a]
class = "bookings"
customers = ["nobody"]
[customer.x]
key_digest = ["short"]
default_kind = "b"
[service.s]
kind = "model"
[service.s.engine.e]
address = "127.0.0.1:1"
data_centre = "d"
slots = 0
"#;
    let problems = Document::parse(text).expect_err("there are problems");
    expect![[r#"
        class.booking.first_token_target_ms: the first-token target is 0 ms; set it to at least 1 ms
        class.note.min_share: 1.4 is not between 0 and 1; set a number from 0 to 1
        class.*.min_share: the minimum shares of all classes add up to 1.80; lower their sum to 0.5 or less
        customer.x.default_kind: kind 'b' is not declared; declared kinds: a
        customer.x.key_digest: a value in the list is not a key digest; use 32 hex digits, as `bridgevane check --digest` prints
        kind.a.class: class 'bookings' is not declared; declared classes: booking, note
        kind.a.customers: customer 'nobody' is not declared; declared customers: x
        service.s.models: the service is a pool of model engines but lists no model; list the models that clients may request
        service.s.engine.e.slots: the engine has 0 slots; set at least 1; to send the engine no new work, set drained = true
    "#]]
    .assert_eq(&format!("{problems}\n"));
}

/// Guards against an error without the line and column, or without the name of an unknown field.
#[test]
fn a_format_error_names_its_line_and_column() {
    let text = "[class.a]\ntier = 0\nfirst_token_target_ms = \"soon\"\n";
    let problems = Document::parse(text).expect_err("not a number");
    expect![[r#"line 3, column 25: invalid type: string "soon", expected u64; see docs/CONFIGURATION.md for the fields of each table"#]]
        .assert_eq(&problems.to_string());
    let text = "[class.a]\ntier = 0\nfirst_token_target_ms = 5\ntarget = 1\n";
    let problems = Document::parse(text).expect_err("an unknown field");
    assert!(
        problems.to_string().contains("unknown field `target`"),
        "{problems}"
    );
}

/// Guards against content that is lost when a document is split into sections and sent.
#[test]
fn sections_join_to_the_same_document() {
    for document in [solcata(), Document::parse(RAVATON).expect("valid")] {
        let sections = Sections::from_document(&document).expect("the document can be split");
        assert_eq!(
            sections.to_document().expect("the sections can be joined"),
            document
        );
    }
}

/// Guards against deltas that send unchanged sections, and against daemons that end with different
/// configurations of the same version.
#[test]
fn a_delta_holds_only_the_changes_and_does_not_apply_to_other_sections() {
    let before = Sections::from_document(&solcata()).expect("sections");
    let mut document = solcata();
    document.class.get_mut("field-note").expect("a class").tier = Tier(7);
    document.customer.remove("head-office");
    let after = Sections::from_document(&document).expect("sections");
    let delta = before.delta_to(&after, ConfigVersion(1), ConfigVersion(2));
    let paths: Vec<&str> = delta
        .changes
        .iter()
        .map(|change| change.path.as_str())
        .collect();
    assert_eq!(paths, ["customer.head-office", "class.field-note"]);
    assert_eq!(before.apply(&delta).expect("the delta applies"), after);
    let changed = solcata()
        .with_changes(&delta.changes)
        .expect("the changes apply");
    assert_eq!(changed, document);
    assert_eq!(Sections::from_document(&changed).expect("sections"), after);
    let bytes: usize = delta
        .changes
        .iter()
        .map(|c| c.path.len() + c.text.as_ref().map_or(0, String::len))
        .sum();
    assert!(bytes < 200, "{bytes} bytes for two small changes");
    let mut other = solcata();
    other
        .class
        .get_mut("dealer-query")
        .expect("a class")
        .first_token_target_ms = DurationMs(1);
    let other = Sections::from_document(&other).expect("sections");
    assert_eq!(other.apply(&delta), Err(DeltaError::DigestMismatch));
    let empty = Delta {
        changes: Vec::new(),
        ..delta
    };
    assert_eq!(before.apply(&empty), Err(DeltaError::DigestMismatch));
}

/// An operator whose answer was lost asks again. The answer must be exact, or say that it is too late
/// to know; a wrong answer would repeat or lose a change.
#[test]
fn the_envelope_shows_whether_an_operation_took_effect() {
    let mut envelope = Envelope {
        version: ConfigVersion(1),
        operation: Vec::new(),
        document: solcata(),
    };
    let id = |at: u64| OperationId::from(format!("op-{at}").as_str());
    assert_eq!(
        envelope.status_of(&id(2), ConfigVersion(1)),
        OperationStatus::NoEffect
    );
    for at in 2..=400 {
        let changed = vec![format!("class.c{at}")];
        envelope = envelope.with_operation(solcata(), id(at), "nadia".into(), changed);
    }
    assert_eq!(envelope.version, ConfigVersion(400));
    assert_eq!(
        envelope.status_of(&id(300), ConfigVersion(1)),
        OperationStatus::TookEffect(ConfigVersion(300))
    );
    assert_eq!(
        envelope.status_of(&id(9_999), ConfigVersion(399)),
        OperationStatus::NoEffect
    );
    // Operation 2 is no longer remembered, so its status is reported as unknown.
    assert_eq!(
        envelope.status_of(&id(2), ConfigVersion(1)),
        OperationStatus::NotRemembered
    );
    let since: Vec<u64> = envelope
        .operations_since(ConfigVersion(398))
        .iter()
        .map(|o| o.version.0)
        .collect();
    assert_eq!(since, [399, 400]);
    let text = envelope.to_text().expect("the envelope can be written");
    assert_eq!(
        Envelope::parse(&text).expect("the envelope can be parsed"),
        envelope
    );
    assert!(Envelope::parse("version = \"x\"").is_err());
}
