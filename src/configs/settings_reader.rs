//! Reading settings from flags, then environment variables; every problem in one go.
//!
//! A command's arguments implement `SettingSource` by `setting_source`, so that each flag is
//! mapped once: to the field of its name. A configuration reads its settings with a
//! `SettingReader`, and gets their values only after `SettingReader::finish` has found no
//! problem.

use derive_more::{Display, Error};
use std::str::FromStr;

/// What an address looks like.
pub(crate) const ADDRESS: &str = "an address such as 10.0.0.4:8080";
/// What a name looks like.
pub(crate) const NAME: &str = "a name";

/// What was wrong with one setting.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("--{flag} ({variable}): {what}")]
pub struct SettingProblem {
    /// The flag.
    pub flag: &'static str,
    /// Its environment variable.
    pub variable: String,
    /// What is wrong, and what would be right.
    pub what: String,
}

/// All that was wrong with the settings.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{}", problems.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))]
pub struct SettingProblems {
    /// Every problem.
    pub problems: Vec<SettingProblem>,
}

/// Where a setting's text comes from.
pub trait SettingSource {
    /// The text of `flag`, from the command line or its variable.
    fn text(&self, flag: &'static str) -> Option<String>;
}

/// The environment variable of a flag: `--vm-id` is `BRIDGEVANE_VM_ID`.
pub(crate) fn variable_of(flag: &str) -> String {
    format!("BRIDGEVANE_{}", flag.to_uppercase().replace('-', "_"))
}

/// Implements [`SettingSource`] for a command's arguments: the flag `--vm-id` is the field `vm_id`;
/// where it isn't given, its environment variable is read.
macro_rules! setting_source {
    ($arguments:ty: $($field:ident),* $(,)?) => {
        impl $crate::configs::settings_reader::SettingSource for $arguments {
            fn text(&self, flag: &'static str) -> Option<String> {
                let given = match flag.replace('-', "_").as_str() {
                    $(stringify!($field) => self.$field.clone(),)*
                    _ => None,
                };
                let variable = $crate::configs::settings_reader::variable_of(flag);
                // A variable that isn't set, is empty or is no text counts as not given.
                let variable = || std::env::var(variable).ok();
                given.or_else(|| variable().filter(|text| !text.is_empty()))
            }
        }
    };
}
pub(crate) use setting_source;

/// Reads settings and gathers what is wrong with them.
pub(crate) struct SettingReader<'a, S> {
    source: &'a S,
    problems: Vec<SettingProblem>,
}

/// Shows that all settings were read without a problem.
pub(crate) struct NoProblems(());

/// A setting that must be given.
pub(crate) struct Required<T>(Option<T>);

impl<T> Required<T> {
    /// Its value. A missing one is a problem, so that there is a value where there are no problems.
    pub(crate) fn value(self, _proof: &NoProblems) -> T {
        self.0.expect("a missing setting is a problem")
    }

    /// Its value for further checks; none where it is missing or not valid.
    pub(crate) fn given(&self) -> Option<&T> {
        self.0.as_ref()
    }
}

impl<'a, S: SettingSource> SettingReader<'a, S> {
    pub(crate) fn new(source: &'a S) -> Self {
        Self {
            source,
            problems: Vec::new(),
        }
    }

    /// Ends the reading.
    ///
    /// # Errors
    /// Every problem at once.
    pub(crate) fn finish(self) -> Result<NoProblems, SettingProblems> {
        if self.problems.is_empty() {
            return Ok(NoProblems(()));
        }
        let problems = self.problems;
        Err(SettingProblems { problems })
    }

    pub(crate) fn fail(&mut self, flag: &'static str, what: String) {
        self.problems.push(SettingProblem {
            flag,
            variable: variable_of(flag),
            what,
        });
    }

    pub(crate) fn optional<T: FromStr>(&mut self, flag: &'static str, right: &str) -> Option<T> {
        let text = self.source.text(flag)?;
        match text.parse() {
            Ok(value) => Some(value),
            Err(_) => {
                self.fail(flag, format!("'{text}' is not valid; give {right}"));
                None
            }
        }
    }

    pub(crate) fn required<T: FromStr>(&mut self, flag: &'static str, right: &str) -> Required<T> {
        if self.source.text(flag).is_none() {
            self.fail(flag, format!("is missing; give {right}"));
            return Required(None);
        }
        Required(self.optional(flag, right))
    }

    pub(crate) fn list<T: FromStr>(&mut self, flag: &'static str, right: &str) -> Vec<T> {
        // Not given is an empty list.
        let text = self.source.text(flag).unwrap_or_default();
        let mut values = Vec::new();
        for part in text
            .split(',')
            .map(str::trim)
            .filter(|part| !part.is_empty())
        {
            match part.parse() {
                Ok(value) => values.push(value),
                // The part may be a secret and isn't printed.
                Err(_) => self.fail(flag, format!("an entry is not valid; give {right}")),
            }
        }
        values
    }
}
