//! The results of the demo's load by class.

use super::DemoArguments;
use super::load::{CallerResult, FinishedCall};
use super::system::DemoSystem;
use crate::modules::serve::requests::targets::LatencyTargets;
use bridgevane_standins::check_promises;
use bridgevane_types::{ClassName, DurationMs};
use comfy_table::{Table, presets};
use serde::Serialize;
use std::collections::BTreeMap;

/// The results of one class.
#[derive(Clone, Debug, Default, Serialize)]
struct ClassResult {
    offered: u64,
    in_target: u64,
    late: u64,
    refused: u64,
    cut: u64,
    resumed: u64,
    attainment: f64,
    goodput_tps: f64,
}

/// The results of all classes.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Results {
    user: String,
    seed: u64,
    load: f64,
    fault: String,
    seconds: u64,
    classes: BTreeMap<ClassName, ClassResult>,
    goodput_tps: f64,
    wasted_tokens: u64,
    wasted_share: f64,
    /// The promises that were broken.
    pub(super) broken: Vec<String>,
}

/// The window over which the daemon's counts are read.
const WINDOW: DurationMs = DurationMs(3_600_000);

impl Results {
    pub(super) async fn collect(
        system: &DemoSystem,
        arguments: &DemoArguments,
        finished: Vec<FinishedCall>,
    ) -> Self {
        let mut classes: BTreeMap<ClassName, ClassResult> = BTreeMap::new();
        let mut broken = Vec::new();
        for call in &finished {
            count(system, arguments, call, &mut classes);
            if call.result == CallerResult::Wrong {
                broken.push(format!("a caller of {} got a wrong answer", call.class));
            }
        }
        let counts = system
            .context
            .service_levels
            .counts_in(system.context.now(), WINDOW);
        let mut wasted_tokens = 0;
        for (name, counts) in &counts {
            wasted_tokens += counts.wasted_tokens;
            classes.entry(name.clone()).or_default().resumed = counts.resumed;
        }
        for class in classes.values_mut() {
            class.attainment = class.in_target as f64 / class.offered.max(1) as f64;
        }
        for key in system.repeated_keys() {
            broken.push(format!("the call of key {key} ran more than once"));
        }
        for (_, pool) in system.context.pools.all() {
            let decisions = pool.decisions().await;
            let promises = check_promises(&decisions);
            broken.extend(promises.iter().map(ToString::to_string));
        }
        let computed = system.computed_tokens().max(1);
        Self {
            user: arguments.user.to_string(),
            seed: arguments.seed,
            load: arguments.load,
            fault: arguments.fault.to_string(),
            seconds: arguments.seconds,
            goodput_tps: classes.values().map(|class| class.goodput_tps).sum(),
            classes,
            wasted_tokens,
            wasted_share: wasted_tokens as f64 / computed as f64,
            broken,
        }
    }

    /// Formats the results as one JSON object.
    pub(super) fn json(&self) -> String {
        serde_json::to_string(self).unwrap_or_default()
    }

    /// Formats the results as a table followed by the totals and broken promises.
    pub(super) fn table(&self) -> String {
        let mut table = Table::new();
        table.load_preset(presets::UTF8_HORIZONTAL_ONLY);
        table.set_header([
            "class",
            "offered",
            "in target",
            "late",
            "refused",
            "cut",
            "resumed",
            "attainment",
            "goodput t/s",
        ]);
        for (name, class) in &self.classes {
            table.add_row([
                name.to_string(),
                class.offered.to_string(),
                class.in_target.to_string(),
                class.late.to_string(),
                class.refused.to_string(),
                class.cut.to_string(),
                class.resumed.to_string(),
                format!("{:.1} %", class.attainment * 100.0),
                format!("{:.0}", class.goodput_tps),
            ]);
        }
        let mut text = format!(
            "{table}\ngoodput {:.0} tokens/s, wasted {} tokens ({:.1} %)",
            self.goodput_tps,
            self.wasted_tokens,
            self.wasted_share * 100.0,
        );
        if self.broken.is_empty() {
            text.push_str("\nno promise was broken");
        }
        for broken in &self.broken {
            text.push_str(&format!("\nbroken: {broken}"));
        }
        text
    }
}

fn count(
    system: &DemoSystem,
    arguments: &DemoArguments,
    call: &FinishedCall,
    classes: &mut BTreeMap<ClassName, ClassResult>,
) {
    let class = classes.entry(call.class.clone()).or_default();
    class.offered += 1;
    match call.result {
        CallerResult::Complete {
            first_token_ms,
            total_ms,
            tokens,
        } => {
            let config = &system.document.class[&call.class];
            let targets = LatencyTargets {
                first_token_ms: config.first_token_target_ms,
                between_tokens_ms: config.between_tokens_target_ms,
            };
            if targets.are_met(first_token_ms, total_ms, tokens) {
                class.in_target += 1;
                class.goodput_tps += tokens as f64 / arguments.seconds.max(1) as f64;
            } else {
                class.late += 1;
            }
        }
        CallerResult::Refused => class.refused += 1,
        CallerResult::Cut | CallerResult::Wrong => class.cut += 1,
    }
}
