//! Reading and checking the document: what the format alone can't express.

use crate::document::{Document, ServiceKind};
use crate::problem::{ConfigProblem, ConfigProblems};
use std::collections::BTreeMap;

/// The most that all minimum shares may add up to: the rest of a pool goes by tier. Not measured,
/// chosen because more would turn the order by tier round.
const MAX_SHARE_SUM: f64 = 0.5;
/// Hex digits of a key digest, from the 128 bits of its hash.
const DIGEST_LEN: usize = 32;

impl Document {
    /// Reads and checks `text`.
    ///
    /// # Errors
    /// Every problem found: where it is, what it is, and what would be right.
    pub fn parse(text: &str) -> Result<Self, ConfigProblems> {
        let document: Document = toml::from_str(text).map_err(|error| ConfigProblems {
            problems: vec![ConfigProblem::from_toml(text, &error)],
        })?;
        document.check()?;
        Ok(document)
    }

    /// Checks what the format alone can't express.
    ///
    /// # Errors
    /// Every problem found.
    pub fn check(&self) -> Result<(), ConfigProblems> {
        let problems = problems(self);
        if problems.is_empty() {
            return Ok(());
        }
        Err(ConfigProblems { problems })
    }
}

/// Every problem of `document`.
fn problems(document: &Document) -> Vec<ConfigProblem> {
    let mut found = Vec::new();
    check_classes(document, &mut found);
    check_customers(document, &mut found);
    check_kinds(document, &mut found);
    check_services(document, &mut found);
    check_rollouts(document, &mut found);
    found
}

fn check_classes(document: &Document, found: &mut Vec<ConfigProblem>) {
    if document.class.is_empty() {
        found.push(ConfigProblem::new(
            "class".into(),
            "no class is declared".into(),
            "declare at least one, for instance [class.booking]",
        ));
    }
    for (name, class) in &document.class {
        if class.first_token_target_ms.0 == 0 {
            found.push(ConfigProblem::new(
                format!("class.{name}.first_token_target_ms"),
                "the target is 0".into(),
                "give milliseconds of at least 1",
            ));
        }
        check_fraction(format!("class.{name}.min_share"), class.min_share.0, found);
        check_fraction(format!("class.{name}.objective"), class.objective.0, found);
    }
    let sum: f64 = document.class.values().map(|class| class.min_share.0).sum();
    if sum > MAX_SHARE_SUM {
        found.push(ConfigProblem::new(
            "class.*.min_share".into(),
            format!("the minimum shares add up to {sum:.2}"),
            format!("keep their sum at {MAX_SHARE_SUM} or less"),
        ));
    }
}

fn check_fraction(place: String, value: f64, found: &mut Vec<ConfigProblem>) {
    if (0.0..=1.0).contains(&value) {
        return;
    }
    found.push(ConfigProblem::new(
        place,
        format!("{value} is not a share"),
        "give a number from 0 to 1",
    ));
}

fn check_customers(document: &Document, found: &mut Vec<ConfigProblem>) {
    let mut owner_of_digest = BTreeMap::new();
    for (name, customer) in &document.customer {
        if !document.kind.contains_key(&customer.default_kind) {
            found.push(ConfigProblem::new(
                format!("customer.{name}.default_kind"),
                format!("there is no kind '{}'", customer.default_kind),
                known("kinds", document.kind.keys()),
            ));
        }
        for digest in &customer.key_digest {
            let is_hex = digest.chars().all(|c| c.is_ascii_hexdigit());
            if digest.len() != DIGEST_LEN || !is_hex {
                found.push(ConfigProblem::new(
                    format!("customer.{name}.key_digest"),
                    "not a key digest".into(),
                    format!("give {DIGEST_LEN} hex digits, as `bridgevane check --digest` prints"),
                ));
            }
            if let Some(other) = owner_of_digest.insert(digest, name) {
                found.push(ConfigProblem::new(
                    format!("customer.{name}.key_digest"),
                    format!("customer '{other}' has the same key"),
                    "give each customer keys of its own",
                ));
            }
        }
    }
}

fn check_kinds(document: &Document, found: &mut Vec<ConfigProblem>) {
    for (name, kind) in &document.kind {
        if !document.class.contains_key(&kind.class) {
            found.push(ConfigProblem::new(
                format!("kind.{name}.class"),
                format!("there is no class '{}'", kind.class),
                known("classes", document.class.keys()),
            ));
        }
        for customer in &kind.customers {
            if !document.customer.contains_key(customer) {
                found.push(ConfigProblem::new(
                    format!("kind.{name}.customers"),
                    format!("there is no customer '{customer}'"),
                    known("customers", document.customer.keys()),
                ));
            }
        }
    }
}

fn check_services(document: &Document, found: &mut Vec<ConfigProblem>) {
    let mut service_of_model = BTreeMap::new();
    for (name, service) in &document.service {
        if service.kind == ServiceKind::Model && service.models.is_empty() {
            found.push(ConfigProblem::new(
                format!("service.{name}.models"),
                "a pool of model engines names no model".into(),
                "list the models that callers may name",
            ));
        }
        for model in &service.models {
            if let Some(other) = service_of_model.insert(model, name) {
                found.push(ConfigProblem::new(
                    format!("service.{name}.models"),
                    format!("model '{model}' is served by '{other}' too"),
                    "name each model in one service",
                ));
            }
        }
        for (engine, config) in &service.engine {
            if config.slots.0 == 0 {
                found.push(ConfigProblem::new(
                    format!("service.{name}.engine.{engine}.slots"),
                    "the engine has no slot".into(),
                    "give at least 1, or set drained = true",
                ));
            }
        }
        for (index, route) in service.route.iter().enumerate() {
            if !document.class.contains_key(&route.class) {
                found.push(ConfigProblem::new(
                    format!("service.{name}.route.{index}.class"),
                    format!("there is no class '{}'", route.class),
                    known("classes", document.class.keys()),
                ));
            }
        }
    }
}

fn check_rollouts(document: &Document, found: &mut Vec<ConfigProblem>) {
    for (model, rollout) in &document.rollout {
        if document.service_of_model(model.as_str()).is_none() {
            let models = document
                .service
                .values()
                .flat_map(|service| service.models.iter());
            found.push(ConfigProblem::new(
                format!("rollout.{model}"),
                format!("no service serves model '{model}'"),
                known("models", models),
            ));
        }
        if rollout.batch == 0 {
            found.push(ConfigProblem::new(
                format!("rollout.{model}.batch"),
                "no engine would ever change".into(),
                "give at least 1",
            ));
        }
        if rollout.hold_burn > rollout.rollback_burn {
            found.push(ConfigProblem::new(
                format!("rollout.{model}.hold_burn"),
                "it is above rollback_burn".into(),
                "hold at a lower burn rate than the one that takes back",
            ));
        }
    }
}

fn known<T: std::fmt::Display>(what: &str, names: impl Iterator<Item = T>) -> String {
    let names: Vec<String> = names.take(10).map(|name| name.to_string()).collect();
    if names.is_empty() {
        return format!("no {what} are declared");
    }
    format!("the {what} are {}", names.join(", "))
}
