//! Reads a document and checks rules that its format can't express.

use crate::document::{Document, ServiceKind};
use crate::problem::{ConfigProblem, ConfigProblems};
use std::collections::BTreeMap;

/// The maximum sum of all minimum shares. The rest of a pool is allocated by tier; with a larger sum,
/// the minimum shares would override the order by tier.
const MAX_SHARE_SUM: f64 = 0.5;
/// The number of hex digits of a key digest, which is a 128-bit hash.
const DIGEST_LEN: usize = 32;

impl Document {
    /// Reads and checks `text`.
    ///
    /// # Errors
    /// [`ConfigProblems`] with the place, description and remedy of every problem.
    pub fn parse(text: &str) -> Result<Self, ConfigProblems> {
        let document: Document = toml::from_str(text).map_err(|error| ConfigProblems {
            problems: vec![ConfigProblem::from_toml(text, &error)],
        })?;
        document.check()?;
        Ok(document)
    }

    /// Checks rules that the format can't express.
    ///
    /// # Errors
    /// [`ConfigProblems`] with every problem.
    pub fn check(&self) -> Result<(), ConfigProblems> {
        let problems = find_problems(self);
        if problems.is_empty() {
            return Ok(());
        }
        Err(ConfigProblems { problems })
    }
}

/// Returns every problem of `document`.
fn find_problems(document: &Document) -> Vec<ConfigProblem> {
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
            "declare at least one class, for example [class.booking]",
        ));
    }
    for (name, class) in &document.class {
        if class.first_token_target_ms.0 == 0 {
            found.push(ConfigProblem::new(
                format!("class.{name}.first_token_target_ms"),
                "the first-token target is 0 ms".into(),
                "set it to at least 1 ms",
            ));
        }
        check_fraction(format!("class.{name}.min_share"), class.min_share.0, found);
        check_fraction(format!("class.{name}.objective"), class.objective.0, found);
    }
    let sum: f64 = document.class.values().map(|class| class.min_share.0).sum();
    if sum > MAX_SHARE_SUM {
        found.push(ConfigProblem::new(
            "class.*.min_share".into(),
            format!("the minimum shares of all classes add up to {sum:.2}"),
            format!("lower their sum to {MAX_SHARE_SUM} or less"),
        ));
    }
}

fn check_fraction(place: String, value: f64, found: &mut Vec<ConfigProblem>) {
    if (0.0..=1.0).contains(&value) {
        return;
    }
    found.push(ConfigProblem::new(
        place,
        format!("{value} is not between 0 and 1"),
        "set a number from 0 to 1",
    ));
}

fn check_customers(document: &Document, found: &mut Vec<ConfigProblem>) {
    let mut owner_of_digest = BTreeMap::new();
    for (name, customer) in &document.customer {
        if !document.kind.contains_key(&customer.default_kind) {
            found.push(ConfigProblem::new(
                format!("customer.{name}.default_kind"),
                format!("kind '{}' is not declared", customer.default_kind),
                list_declared("kinds", document.kind.keys()),
            ));
        }
        for digest in &customer.key_digest {
            let is_hex = digest.chars().all(|c| c.is_ascii_hexdigit());
            if digest.len() != DIGEST_LEN || !is_hex {
                found.push(ConfigProblem::new(
                    format!("customer.{name}.key_digest"),
                    "a value in the list is not a key digest".into(),
                    format!("use {DIGEST_LEN} hex digits, as `bridgevane check --digest` prints"),
                ));
            }
            if let Some(other) = owner_of_digest.insert(digest, name) {
                found.push(ConfigProblem::new(
                    format!("customer.{name}.key_digest"),
                    format!("customer '{other}' has the same key digest"),
                    "use different keys for each customer",
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
                format!("class '{}' is not declared", kind.class),
                list_declared("classes", document.class.keys()),
            ));
        }
        for customer in &kind.customers {
            if !document.customer.contains_key(customer) {
                found.push(ConfigProblem::new(
                    format!("kind.{name}.customers"),
                    format!("customer '{customer}' is not declared"),
                    list_declared("customers", document.customer.keys()),
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
                "the service is a pool of model engines but lists no model".into(),
                "list the models that clients may request",
            ));
        }
        for model in &service.models {
            if let Some(other) = service_of_model.insert(model, name) {
                found.push(ConfigProblem::new(
                    format!("service.{name}.models"),
                    format!("model '{model}' is also listed by service '{other}'"),
                    "list each model in one service only",
                ));
            }
        }
        for (engine, config) in &service.engine {
            if config.slots.0 == 0 {
                found.push(ConfigProblem::new(
                    format!("service.{name}.engine.{engine}.slots"),
                    "the engine has 0 slots".into(),
                    "set at least 1; to send the engine no new work, set drained = true",
                ));
            }
        }
        for (index, route) in service.route.iter().enumerate() {
            if !document.class.contains_key(&route.class) {
                found.push(ConfigProblem::new(
                    format!("service.{name}.route.{index}.class"),
                    format!("class '{}' is not declared", route.class),
                    list_declared("classes", document.class.keys()),
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
                list_declared("models", models),
            ));
        }
        if rollout.batch == 0 {
            found.push(ConfigProblem::new(
                format!("rollout.{model}.batch"),
                "the batch size is 0, so no engine would change".into(),
                "set it to at least 1",
            ));
        }
        if rollout.hold_burn > rollout.rollback_burn {
            found.push(ConfigProblem::new(
                format!("rollout.{model}.hold_burn"),
                "hold_burn is greater than rollback_burn".into(),
                "set it to at most rollback_burn",
            ));
        }
    }
}

fn list_declared<T: std::fmt::Display>(what: &str, names: impl Iterator<Item = T>) -> String {
    let names: Vec<String> = names.take(10).map(|name| name.to_string()).collect();
    if names.is_empty() {
        return format!("no {what} are declared");
    }
    format!("declared {what}: {}", names.join(", "))
}
