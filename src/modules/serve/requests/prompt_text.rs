//! The text of a prompt or of a message's content, taken from its JSON while that is parsed.
//!
//! A value is a text, or a list of values and of objects whose `text` is a value. Anything else has no text.
//! Nothing but the text is kept: as a tree, small values take ten times their length.

use derive_more::{Display, Into};
use serde::de::{DeserializeSeed, Deserializer, IgnoredAny, MapAccess, SeqAccess, Visitor};
use std::fmt;

/// The text of a prompt or of a message's content.
#[derive(Clone, Debug, Default, Display, Into, PartialEq, Eq)]
pub(crate) struct PromptText(String);

impl<'de> serde::Deserialize<'de> for PromptText {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let mut text = String::new();
        let part = TextPart {
            text: &mut text,
            place: Place::Value,
        };
        part.deserialize(deserializer)?;
        Ok(Self(text))
    }
}

/// Where a value stands.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Place {
    /// By itself: an object has no text.
    Value,
    /// In a list: an object may have a text.
    List,
}

/// Appends the text of one value.
struct TextPart<'a> {
    text: &'a mut String,
    place: Place,
}

impl<'de> DeserializeSeed<'de> for TextPart<'_> {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<(), D::Error> {
        deserializer.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for TextPart<'_> {
    type Value = ();

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a text or a list of parts")
    }

    fn visit_str<E>(self, text: &str) -> Result<(), E> {
        self.text.push_str(text);
        Ok(())
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut parts: A) -> Result<(), A::Error> {
        loop {
            let part = TextPart {
                text: &mut *self.text,
                place: Place::List,
            };
            if parts.next_element_seed(part)?.is_none() {
                return Ok(());
            }
        }
    }

    fn visit_map<A: MapAccess<'de>>(self, mut fields: A) -> Result<(), A::Error> {
        while let Some(field) = fields.next_key::<String>()? {
            if self.place == Place::List && field == "text" {
                fields.next_value_seed(TextPart {
                    text: &mut *self.text,
                    place: Place::Value,
                })?;
            } else {
                fields.next_value::<IgnoredAny>()?;
            }
        }
        Ok(())
    }

    fn visit_unit<E>(self) -> Result<(), E> {
        Ok(())
    }

    fn visit_bool<E>(self, _value: bool) -> Result<(), E> {
        Ok(())
    }

    fn visit_i64<E>(self, _value: i64) -> Result<(), E> {
        Ok(())
    }

    fn visit_u64<E>(self, _value: u64) -> Result<(), E> {
        Ok(())
    }

    fn visit_f64<E>(self, _value: f64) -> Result<(), E> {
        Ok(())
    }
}
