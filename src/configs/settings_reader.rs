//! Reads settings from flags, then environment variables, and reports all problems together.
//!
//! `setting_source` implements `SettingSource` for a command's arguments and maps each flag to the
//! field of the same name. A configuration reads its settings with a `SettingReader` and gets their
//! values only after `SettingReader::finish` has found no problem.

use derive_more::{Display, Error};
use std::str::FromStr;

/// The description of an address in error messages.
pub(crate) const ADDRESS: &str = "an address such as 10.0.0.4:8080";
/// The description of a name in error messages.
pub(crate) const NAME: &str = "a name";

/// A problem with one setting.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("--{flag} ({variable}): {what}")]
pub struct SettingProblem {
    /// The flag, without its dashes.
    pub flag: &'static str,
    /// The flag's environment variable.
    pub variable: String,
    /// The problem and a valid form of the value.
    pub what: String,
}

/// All problems with the settings.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
#[display("{}", problems.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n"))]
pub struct SettingProblems {
    /// The problems, in the order in which they were found.
    pub problems: Vec<SettingProblem>,
}

/// A source of the settings' texts.
pub trait SettingSource {
    /// Returns the text of `flag` from the command line or from its environment variable.
    fn text(&self, flag: &'static str) -> Option<String>;
}

/// Returns the environment variable of a flag: `BRIDGEVANE_VM_ID` for `--vm-id`.
pub(crate) fn variable_of(flag: &str) -> String {
    format!("BRIDGEVANE_{}", flag.to_uppercase().replace('-', "_"))
}

/// Implements [`SettingSource`] for a command's arguments: the flag `--vm-id` is read from the
/// field `vm_id`, or from its environment variable if the flag isn't given.
macro_rules! setting_source {
    ($arguments:ty: $($field:ident),* $(,)?) => {
        impl $crate::configs::settings_reader::SettingSource for $arguments {
            fn text(&self, flag: &'static str) -> Option<String> {
                let given = match flag.replace('-', "_").as_str() {
                    $(stringify!($field) => self.$field.clone(),)*
                    _ => None,
                };
                let variable = $crate::configs::settings_reader::variable_of(flag);
                // A variable that is unset, empty or not valid Unicode counts as not given.
                let variable = || std::env::var(variable).ok();
                given.or_else(|| variable().filter(|text| !text.is_empty()))
            }
        }
    };
}
pub(crate) use setting_source;

/// Reads settings and collects their problems.
pub(crate) struct SettingReader<'a, S> {
    source: &'a S,
    problems: Vec<SettingProblem>,
}

/// Proves that all settings were read without a problem.
pub(crate) struct NoProblems(());

/// The value of a required setting, if it is valid.
pub(crate) struct Required<T>(Option<T>);

impl<T> Required<T> {
    /// Returns the value, which exists because a missing or invalid setting is a problem.
    pub(crate) fn value(self, _proof: &NoProblems) -> T {
        self.0.expect("a missing setting was reported as a problem")
    }

    /// Returns the value for further checks, or `None` if it is missing or invalid.
    pub(crate) fn get(&self) -> Option<&T> {
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

    /// Returns the proof that all settings are valid.
    ///
    /// # Errors
    /// [`SettingProblems`] with all problems that were found while reading.
    pub(crate) fn finish(self) -> Result<NoProblems, SettingProblems> {
        if self.problems.is_empty() {
            return Ok(NoProblems(()));
        }
        let problems = self.problems;
        Err(SettingProblems { problems })
    }

    pub(crate) fn add_problem(&mut self, flag: &'static str, what: String) {
        self.problems.push(SettingProblem {
            flag,
            variable: variable_of(flag),
            what,
        });
    }

    pub(crate) fn optional<T: FromStr>(&mut self, flag: &'static str, expected: &str) -> Option<T> {
        let text = self.source.text(flag)?;
        match text.parse() {
            Ok(value) => Some(value),
            Err(_) => {
                self.add_problem(flag, format!("'{text}' is not valid; give {expected}"));
                None
            }
        }
    }

    pub(crate) fn required<T: FromStr>(
        &mut self,
        flag: &'static str,
        expected: &str,
    ) -> Required<T> {
        if self.source.text(flag).is_none() {
            self.add_problem(flag, format!("is missing; give {expected}"));
            return Required(None);
        }
        Required(self.optional(flag, expected))
    }

    pub(crate) fn list<T: FromStr>(&mut self, flag: &'static str, expected: &str) -> Vec<T> {
        // A list that isn't given is empty.
        let text = self.source.text(flag).unwrap_or_default();
        let mut values = Vec::new();
        for part in text
            .split(',')
            .map(str::trim)
            .filter(|part| !part.is_empty())
        {
            match part.parse() {
                Ok(value) => values.push(value),
                // The entry isn't printed since it may be a secret.
                Err(_) => self.add_problem(flag, format!("an entry is not valid; give {expected}")),
            }
        }
        values
    }
}
