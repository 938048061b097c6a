//! A place in a JSON input that is read field by field, so that one pass
//! collects every finding.

use std::{cell, collections::BTreeSet, fmt, ops, str};

use serde_json::Value;

use crate::finding;

/// A JSON object under inspection.
pub struct ObjectReader<'a> {
    value: &'a Value,
    pointer: String,
    findings: &'a cell::RefCell<finding::Findings>,
    known: cell::RefCell<BTreeSet<&'static str>>,
}

impl<'a> ObjectReader<'a> {
    /// The root of an input.
    pub fn root(value: &'a Value, findings: &'a cell::RefCell<finding::Findings>) -> Self {
        Self::at(value, String::new(), findings)
    }

    fn at(
        value: &'a Value,
        pointer: String,
        findings: &'a cell::RefCell<finding::Findings>,
    ) -> Self {
        let object = Self {
            value,
            pointer,
            findings,
            known: cell::RefCell::default(),
        };
        if !value.is_object() {
            object.report("expected an object");
        }
        object
    }

    /// Adds a finding about the object itself.
    pub fn report(&self, message: impl Into<String>) {
        self.findings.borrow_mut().add(&self.pointer, message);
    }

    /// Adds a finding about a field.
    pub fn report_at(&self, field: &str, message: impl Into<String>) {
        let pointer = format!("{}/{field}", self.pointer);
        self.findings.borrow_mut().add(&pointer, message);
    }

    /// Whether the field is there.
    pub fn has_field(&self, field: &'static str) -> bool {
        self.get(field).is_some()
    }

    /// The raw field.
    pub fn get(&self, field: &'static str) -> Option<&'a Value> {
        self.known.borrow_mut().insert(field);
        self.value.get(field)
    }

    /// A required text that parses into `T`.
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

    /// An optional text that parses into `T`.
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

    /// A whole number within `range`, or `default` where it is absent.
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

    /// A truth value, or `default` where it is absent.
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

    /// An object below this one; an empty one with a finding where it is absent.
    pub fn child(&self, field: &'static str) -> ObjectReader<'a> {
        let pointer = format!("{}/{field}", self.pointer);
        match self.get(field) {
            Some(value) => Self::at(value, pointer, self.findings),
            None => Self::at(&Value::Null, pointer, self.findings),
        }
    }

    /// A list of objects, each read by `read`; empty where it is absent.
    pub fn objects<T>(
        &self,
        field: &'static str,
        read: impl Fn(&ObjectReader<'a>) -> Option<T>,
    ) -> Vec<T> {
        let items = self.array(field);
        let nodes = items.iter().enumerate().map(|(i, value)| {
            let pointer = format!("{}/{field}/{i}", self.pointer);
            Self::at(value, pointer, self.findings)
        });
        nodes
            .filter_map(|object| {
                let item = read(&object);
                object.report_unknown_fields();
                item
            })
            .collect()
    }

    /// A list of texts that parse into `T`; empty where it is absent.
    pub fn parse_list<T>(&self, field: &'static str) -> Vec<T>
    where
        T: str::FromStr<Err: fmt::Display>,
    {
        let mut texts = Vec::new();
        for (i, value) in self.array(field).iter().enumerate() {
            let place = format!("{field}/{i}");
            match value.as_str().map(str::parse) {
                Some(Ok(text)) => texts.push(text),
                Some(Err(e)) => self.report_at(&place, format!("{e}")),
                None => self.report_at(&place, "expected a string"),
            }
        }
        texts
    }

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

    /// Reports each field that was not asked for.
    pub fn report_unknown_fields(&self) {
        let Some(object) = self.value.as_object() else {
            return;
        };
        let known = self.known.borrow();
        for field in object.keys().filter(|f| !known.contains(f.as_str())) {
            let names: Vec<&str> = known.iter().copied().collect();
            let message = format!("unknown field; known are {}", names.join(", "));
            self.report_at(&field.replace('~', "~0").replace('/', "~1"), message);
        }
    }
}
