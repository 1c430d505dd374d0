//! A JSON parser that rejects repeated fields.
//!
//! `serde_json` keeps the last of two fields with the same name, so a leftover line further down in
//! a settings file would silently override an earlier one.

use std::fmt;

use serde::de::{DeserializeSeed, Deserializer, Error, MapAccess, SeqAccess, Visitor};
use serde_json::{Map, Value};

/// Parses a text. An error gives the position and, for a repeated field, the name.
pub(crate) fn parse(text: &str) -> serde_json::Result<Value> {
    let mut deserializer = serde_json::Deserializer::from_str(text);
    let value = RejectRepeatedFields.deserialize(&mut deserializer)?;
    deserializer.end()?;
    Ok(value)
}

struct RejectRepeatedFields;

impl<'de> DeserializeSeed<'de> for RejectRepeatedFields {
    type Value = Value;

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<Value, D::Error> {
        deserializer.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for RejectRepeatedFields {
    type Value = Value;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a JSON value")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Value, A::Error> {
        let mut fields = Map::new();
        while let Some(name) = map.next_key::<String>()? {
            if fields.contains_key(&name) {
                return Err(A::Error::custom(format_args!("field '{name}' is repeated")));
            }
            fields.insert(name, map.next_value_seed(Self)?);
        }
        Ok(Value::Object(fields))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Value, A::Error> {
        let mut list = Vec::new();
        while let Some(value) = seq.next_element_seed(Self)? {
            list.push(value);
        }
        Ok(Value::Array(list))
    }

    fn visit_unit<E: Error>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_bool<E: Error>(self, v: bool) -> Result<Value, E> {
        Ok(Value::Bool(v))
    }

    fn visit_i64<E: Error>(self, v: i64) -> Result<Value, E> {
        Ok(v.into())
    }

    fn visit_u64<E: Error>(self, v: u64) -> Result<Value, E> {
        Ok(v.into())
    }

    fn visit_f64<E: Error>(self, v: f64) -> Result<Value, E> {
        Ok(v.into())
    }

    fn visit_str<E: Error>(self, v: &str) -> Result<Value, E> {
        Ok(v.into())
    }
}
