//! The document's checks, deltas and envelope, and the users' examples.

use bridgevane_config::{Delta, DeltaError, Document, Envelope, OperationStatus, Sections};
use bridgevane_types::{ConfigVersion, DurationMs, OperationId, Tier};
use expect_test::expect;

const RAVATON: &str = include_str!("../../../examples/ravaton.toml");
const SOLCATA: &str = include_str!("../../../examples/solcata.toml");

fn solcata() -> Document {
    Document::parse(SOLCATA).expect("the example is valid")
}

#[test]
fn the_users_examples_are_valid_and_of_the_sizes_of_today() {
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
        let places: std::collections::BTreeSet<_> =
            engines.map(|engine| engine.data_centre.clone()).collect();
        assert_eq!(places.len(), 3);
    }
}

#[test]
fn every_problem_is_told_at_once_with_what_would_be_right() {
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
        class.booking.first_token_target_ms: the target is 0; give milliseconds of at least 1
        class.note.min_share: 1.4 is not a share; give a number from 0 to 1
        class.*.min_share: the minimum shares add up to 1.80; keep their sum at 0.5 or less
        customer.x.default_kind: there is no kind 'b'; the kinds are a
        customer.x.key_digest: not a key digest; give 32 hex digits, as `bridgevane check --digest` prints
        kind.a.class: there is no class 'bookings'; the classes are booking, note
        kind.a.customers: there is no customer 'nobody'; the customers are x
        service.s.models: a pool of model engines names no model; list the models that callers may name
        service.s.engine.e.slots: the engine has no slot; give at least 1, or set drained = true
    "#]]
    .assert_eq(&format!("{problems}\n"));
}

#[test]
fn a_format_error_names_its_place() {
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

#[test]
fn sections_put_together_give_the_document_again() {
    for document in [solcata(), Document::parse(RAVATON).expect("valid")] {
        let sections = Sections::of(&document).expect("it can be cut");
        assert_eq!(sections.document().expect("it can be joined"), document);
    }
}

#[test]
fn a_delta_holds_what_changed_and_refuses_another_base() {
    let before = Sections::of(&solcata()).expect("sections");
    let mut document = solcata();
    document.class.get_mut("field-note").expect("a class").tier = Tier(7);
    document.customer.remove("head-office");
    let after = Sections::of(&document).expect("sections");
    let delta = before.delta_to(&after, ConfigVersion(1), ConfigVersion(2));
    let paths: Vec<&str> = delta
        .changes
        .iter()
        .map(|change| change.path.as_str())
        .collect();
    assert_eq!(paths, ["customer.head-office", "class.field-note"]);
    assert_eq!(before.apply(&delta).expect("it fits"), after);
    let changed = solcata().changed_by(&delta.changes).expect("it fits");
    assert_eq!(changed, document);
    assert_eq!(Sections::of(&changed).expect("sections"), after);
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
    let other = Sections::of(&other).expect("sections");
    assert_eq!(other.apply(&delta), Err(DeltaError::DigestMismatch));
    let empty = Delta {
        changes: Vec::new(),
        ..delta
    };
    assert_eq!(before.apply(&empty), Err(DeltaError::DigestMismatch));
}

#[test]
fn the_envelope_tells_what_became_of_an_operation() {
    let mut envelope = Envelope {
        version: ConfigVersion(1),
        operation: Vec::new(),
        document: solcata(),
    };
    let id = |at: u64| OperationId::from(format!("op-{at}").as_str());
    assert_eq!(
        envelope.status_of(&id(2), ConfigVersion(1)),
        OperationStatus::DidNot
    );
    for at in 2..=400 {
        let changed = vec![format!("class.c{at}")];
        envelope = envelope.succeed(solcata(), id(at), "nadia".into(), changed);
    }
    assert_eq!(envelope.version, ConfigVersion(400));
    assert_eq!(
        envelope.status_of(&id(300), ConfigVersion(1)),
        OperationStatus::TookEffect(ConfigVersion(300))
    );
    assert_eq!(
        envelope.status_of(&id(9_999), ConfigVersion(399)),
        OperationStatus::DidNot
    );
    // Too long ago to tell: never guessed.
    assert_eq!(
        envelope.status_of(&id(2), ConfigVersion(1)),
        OperationStatus::TooOldToTell
    );
    let since: Vec<u64> = envelope
        .since(ConfigVersion(398))
        .iter()
        .map(|o| o.version.0)
        .collect();
    assert_eq!(since, [399, 400]);
    let text = envelope.to_text().expect("it can be written");
    assert_eq!(Envelope::parse(&text).expect("it can be read"), envelope);
    assert!(Envelope::parse("version = \"x\"").is_err());
}
