//! Reads JSON objects field by field and collects all problems in one pass.

use std::{cell, collections::BTreeSet, fmt, ops, str};

use serde_json::Value;

use crate::finding;

/// Reader of one JSON object that reports problems and keeps track of known fields.
pub struct ObjectReader<'a> {
    value: &'a Value,
    pointer: String,
    findings: &'a cell::RefCell<finding::Findings>,

    /// Names of the fields that were read; all others are reported as unknown.
    known_fields: cell::RefCell<BTreeSet<&'static str>>,
}

impl<'a> ObjectReader<'a> {
    /// Creates a reader of the whole input.
    pub fn root(value: &'a Value, findings: &'a cell::RefCell<finding::Findings>) -> Self {
        Self::at_pointer(value, String::new(), findings)
    }

    /// Creates a reader of the value at `pointer`, with a finding if it is not an object.
    fn at_pointer(
        value: &'a Value,
        pointer: String,
        findings: &'a cell::RefCell<finding::Findings>,
    ) -> Self {
        let object = Self {
            value,
            pointer,
            findings,
            known_fields: cell::RefCell::default(),
        };
        if !value.is_object() {
            object.report("expected an object");
        }
        object
    }

    /// Adds a finding about the object as a whole.
    pub fn report(&self, message: impl Into<String>) {
        self.findings.borrow_mut().add(&self.pointer, message);
    }

    /// Adds a finding about a field, given by its path within the object.
    pub fn report_at(&self, field: &str, message: impl Into<String>) {
        let pointer = format!("{}/{field}", self.pointer);
        self.findings.borrow_mut().add(&pointer, message);
    }

    /// Returns whether the object has the field, and marks the field as known.
    pub fn has_field(&self, field: &'static str) -> bool {
        self.get(field).is_some()
    }

    /// Returns the raw value of a field, and marks the field as known.
    pub fn get(&self, field: &'static str) -> Option<&'a Value> {
        self.known_fields.borrow_mut().insert(field);
        self.value.get(field)
    }

    /// Parses a required string field into `T`.
    pub fn parse_required<T>(&self, field: &'static str) -> Option<T>
    where
        T: str::FromStr<Err: fmt::Display>,
    {
        match self.get(field) {
            Some(_) => self.parse_optional(field),
            None => {
                self.report_at(field, "is required");
                None
            }
        }
    }

    /// Parses an optional string field into `T`.
    pub fn parse_optional<T>(&self, field: &'static str) -> Option<T>
    where
        T: str::FromStr<Err: fmt::Display>,
    {
        let value = self.get(field)?;
        let Some(raw) = value.as_str() else {
            self.report_at(field, "expected a string");
            return None;
        };
        raw.parse()
            .map_err(|e: T::Err| self.report_at(field, e.to_string()))
            .ok()
    }

    /// Reads an integer field within `range`; returns `default` if it is absent or invalid.
    pub fn integer_or(
        &self,
        field: &'static str,
        default: u64,
        range: ops::RangeInclusive<u64>,
    ) -> u64 {
        let Some(value) = self.get(field) else {
            return default;
        };
        match value.as_u64() {
            Some(number) if range.contains(&number) => number,
            _ => {
                let (low, high) = range.into_inner();
                self.report_at(
                    field,
                    format!("expected a whole number from {low} to {high}"),
                );
                default
            }
        }
    }

    /// Reads a Boolean field; returns `default` if it is absent or invalid.
    pub fn bool_or(&self, field: &'static str, default: bool) -> bool {
        match self.get(field) {
            None => default,
            Some(Value::Bool(flag)) => *flag,
            Some(_) => {
                self.report_at(field, "expected true or false");
                default
            }
        }
    }

    /// Returns a reader of a nested object; an absent one is reported and read as empty.
    pub fn child(&self, field: &'static str) -> ObjectReader<'a> {
        let pointer = format!("{}/{field}", self.pointer);
        match self.get(field) {
            Some(value) => Self::at_pointer(value, pointer, self.findings),
            None => Self::at_pointer(&Value::Null, pointer, self.findings),
        }
    }

    /// Reads a list of objects, each with `read`; an absent list is empty.
    pub fn objects<T>(
        &self,
        field: &'static str,
        read: impl Fn(&ObjectReader<'a>) -> Option<T>,
    ) -> Vec<T> {
        let items = self.array(field);
        let readers = items.iter().enumerate().map(|(i, value)| {
            let pointer = format!("{}/{field}/{i}", self.pointer);
            Self::at_pointer(value, pointer, self.findings)
        });
        readers
            .filter_map(|object| {
                let item = read(&object);
                object.report_unknown_fields();
                item
            })
            .collect()
    }

    /// Parses a list of strings into `T`, leaving out invalid ones; an absent list is empty.
    pub fn parse_list<T>(&self, field: &'static str) -> Vec<T>
    where
        T: str::FromStr<Err: fmt::Display>,
    {
        let mut parsed = Vec::new();
        for (i, value) in self.array(field).iter().enumerate() {
            let item_path = format!("{field}/{i}");
            match value.as_str().map(str::parse) {
                Some(Ok(item)) => parsed.push(item),
                Some(Err(e)) => self.report_at(&item_path, format!("{e}")),
                None => self.report_at(&item_path, "expected a string"),
            }
        }
        parsed
    }

    /// Returns the elements of a list field; an absent list is empty.
    fn array(&self, field: &'static str) -> &'a [Value] {
        match self.get(field) {
            None => &[],
            Some(Value::Array(items)) => items,
            Some(_) => {
                self.report_at(field, "expected a list");
                &[]
            }
        }
    }

    /// Reports each field of the object that no other method has asked for.
    pub fn report_unknown_fields(&self) {
        let Some(object) = self.value.as_object() else {
            return;
        };
        let known_fields = self.known_fields.borrow();
        for field in object.keys().filter(|f| !known_fields.contains(f.as_str())) {
            let names: Vec<&str> = known_fields.iter().copied().collect();
            let message = format!("unknown field; known are {}", names.join(", "));
            self.report_at(&field.replace('~', "~0").replace('/', "~1"), message);
        }
    }
}
