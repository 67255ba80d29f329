//! Sections and deltas, so that only the changed part of a document is sent to other daemons.
//!
//! A document of the size that the system is designed for has about 150 KB. At 2,900 changes a day,
//! sending the whole document would take 5 KB/s, but each daemon has only 2 KB/s. A section is one
//! class, customer, kind, service or rollout; a delta holds the sections that changed.

use crate::document::Document;
use bridgevane_types::ConfigVersion;
use derive_more::{Display, Error};
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;

/// A document split into sections: maps each path (`customer.ravaton`) to TOML text.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Sections(pub BTreeMap<String, String>);

/// One changed section.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SectionChange {
    /// The section's path.
    pub path: String,
    /// The section's new text; `None` if the section was removed.
    pub text: Option<String>,
}

/// The changes from one version to a later one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Delta {
    /// The version that the delta applies to.
    pub from: ConfigVersion,
    /// The version that results.
    pub to: ConfigVersion,
    /// The changed sections.
    pub changes: Vec<SectionChange>,
    /// Digest of all sections of the later version.
    pub digest: u64,
}

/// Why a delta or sections can't be used.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum DeltaError {
    /// The delta applies to another version than the one that this daemon has.
    #[display("the delta applies to version {from}, but this daemon has version {have}")]
    WrongBase {
        /// The version that the delta applies to.
        from: ConfigVersion,
        /// The version that this daemon has.
        have: ConfigVersion,
    },
    /// The result differs from the sender's sections.
    #[display("the sections after the delta have another digest than the sender's sections")]
    DigestMismatch,
    /// The sections don't form a valid document.
    #[display("the sections don't form a valid document")]
    Malformed,
}

/// Inserts, replaces or removes one entry of a family of sections.
fn put_section<K: Ord + for<'a> From<&'a str>, T: DeserializeOwned>(
    entries: &mut BTreeMap<K, T>,
    name: &str,
    text: Option<&str>,
) -> Result<(), DeltaError> {
    let name = K::from(name);
    match text {
        Some(text) => {
            let entry = toml::from_str(text).map_err(|_| DeltaError::Malformed)?;
            entries.insert(name, entry);
        }
        None => {
            entries.remove(&name);
        }
    }
    Ok(())
}

impl Document {
    /// Returns the document after changes of its sections. Only the changed sections are parsed:
    /// parsing a document of full size would be most of the cost of a change.
    ///
    /// # Errors
    /// [`DeltaError::Malformed`] if the result is not a valid document.
    pub fn with_changes(&self, changes: &[SectionChange]) -> Result<Document, DeltaError> {
        let mut next = self.clone();
        for change in changes {
            let (family, name) = change.path.split_once('.').ok_or(DeltaError::Malformed)?;
            let text = change.text.as_deref();
            match family {
                "class" => put_section(&mut next.class, name, text)?,
                "customer" => put_section(&mut next.customer, name, text)?,
                "kind" => put_section(&mut next.kind, name, text)?,
                "service" => put_section(&mut next.service, name, text)?,
                "rollout" => put_section(&mut next.rollout, name, text)?,
                _ => return Err(DeltaError::Malformed),
            }
        }
        next.check().map_err(|_| DeltaError::Malformed)?;
        Ok(next)
    }
}

impl Sections {
    /// Splits `document` into sections.
    ///
    /// # Errors
    /// [`DeltaError::Malformed`] if the document can't be written as TOML.
    pub fn from_document(document: &Document) -> Result<Self, DeltaError> {
        let table = toml::Table::try_from(document).map_err(|_| DeltaError::Malformed)?;
        let mut sections = BTreeMap::new();
        for (family, entries) in table {
            let toml::Value::Table(entries) = entries else {
                return Err(DeltaError::Malformed);
            };
            for (name, value) in entries {
                let text = toml::to_string(&value).map_err(|_| DeltaError::Malformed)?;
                sections.insert(format!("{family}.{name}"), text);
            }
        }
        Ok(Self(sections))
    }

    /// Joins the sections to a document.
    ///
    /// # Errors
    /// [`DeltaError::Malformed`] if the sections don't form a valid document.
    pub fn to_document(&self) -> Result<Document, DeltaError> {
        let mut table = toml::Table::new();
        for (path, text) in &self.0 {
            let (family, name) = path.split_once('.').ok_or(DeltaError::Malformed)?;
            let value: toml::Table = toml::from_str(text).map_err(|_| DeltaError::Malformed)?;
            let entries = table
                .entry(family.to_owned())
                .or_insert_with(|| toml::Value::Table(toml::Table::new()));
            let entries = entries.as_table_mut().ok_or(DeltaError::Malformed)?;
            entries.insert(name.to_owned(), toml::Value::Table(value));
        }
        let document: Document = table.try_into().map_err(|_| DeltaError::Malformed)?;
        document.check().map_err(|_| DeltaError::Malformed)?;
        Ok(document)
    }

    /// Returns a digest of all sections.
    pub fn digest(&self) -> u64 {
        let mut hasher = xxhash_rust::xxh3::Xxh3::new();
        for (path, text) in &self.0 {
            hasher.update(path.as_bytes());
            hasher.update(&[0]);
            hasher.update(text.as_bytes());
            hasher.update(&[0]);
        }
        hasher.digest()
    }

    /// Returns the delta from these sections, of version `from`, to `later`, of version `to`.
    pub fn delta_to(&self, later: &Sections, from: ConfigVersion, to: ConfigVersion) -> Delta {
        let removed = self
            .0
            .keys()
            .filter(|path| !later.0.contains_key(*path))
            .map(|path| SectionChange {
                path: path.clone(),
                text: None,
            });
        let changed = later
            .0
            .iter()
            .filter(|(path, text)| self.0.get(*path) != Some(text))
            .map(|(path, text)| SectionChange {
                path: path.clone(),
                text: Some(text.clone()),
            });
        Delta {
            from,
            to,
            changes: removed.chain(changed).collect(),
            digest: later.digest(),
        }
    }

    /// Returns the sections after `delta`.
    ///
    /// # Errors
    /// [`DeltaError::DigestMismatch`] if the result differs from the sender's sections.
    pub fn apply(&self, delta: &Delta) -> Result<Sections, DeltaError> {
        let mut sections = self.clone();
        for change in &delta.changes {
            match &change.text {
                Some(text) => sections.0.insert(change.path.clone(), text.clone()),
                None => sections.0.remove(&change.path),
            };
        }
        if sections.digest() != delta.digest {
            return Err(DeltaError::DigestMismatch);
        }
        Ok(sections)
    }
}
