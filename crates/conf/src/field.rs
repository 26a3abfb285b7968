//! Decoding of single fields, whose errors say in plain words what is allowed.

use std::net::SocketAddr;

use base::Name;
use serde::Deserialize;
use serde::Deserializer;
use serde::de::Error;
use serde_json::Value;

/// Maximum number of characters in a name.
const MAX_NAME_CHARS: usize = 64;
/// Number of hexadecimal digits of a SHA-256 digest.
const DIGEST_DIGITS: usize = 64;
/// Maximum duration in a file, in milliseconds: one day.
const MAX_MILLIS: u64 = 86_400_000;

/// Description of a valid address in errors.
const ADDRESS: &str = "an address with port such as \"127.0.0.1:8000\"";

/// Decodes a name.
pub(crate) fn name<'de, D: Deserializer<'de>>(source: D) -> Result<Name, D::Error> {
    let allowed = "a name of 1 to 64 letters, digits, `-`, `_` or `.`";
    checked(source, allowed, |text| is_name(text).then(|| Name::new(text)))
}

/// Decodes the name and version of a model, or null as `None`.
pub(crate) fn optional_model<'de, D: Deserializer<'de>>(
    source: D,
) -> Result<Option<String>, D::Error> {
    let value = Value::deserialize(source)?;
    match value.as_str() {
        Some(text) if is_model(text) => Ok(Some(text.to_owned())),
        None if value.is_null() => Ok(None),
        _ => Err(expected("a model and its version as `name@version`, or null")),
    }
}

/// Decodes a list of names, which may be empty.
pub(crate) fn names<'de, D: Deserializer<'de>>(source: D) -> Result<Vec<Name>, D::Error> {
    let names: Vec<NameItem> = Vec::deserialize(source)?;
    Ok(names.into_iter().map(|name| name.0).collect())
}

/// Decodes an IP address with a port.
pub(crate) fn address<'de, D: Deserializer<'de>>(source: D) -> Result<SocketAddr, D::Error> {
    checked(source, ADDRESS, |text| text.parse().ok())
}

/// Decodes an IP address with a port, or null as `None`.
pub(crate) fn optional_address<'de, D: Deserializer<'de>>(
    source: D,
) -> Result<Option<SocketAddr>, D::Error> {
    match Value::deserialize(source)? {
        Value::Null => Ok(None),
        value => address(value).map(Some).map_err(|_| expected(&format!("{ADDRESS}, or null"))),
    }
}

/// Decodes the absolute path of an HTTP resource.
pub(crate) fn path<'de, D: Deserializer<'de>>(source: D) -> Result<String, D::Error> {
    let allowed = "a path that starts with `/` and has no blanks";
    checked(source, allowed, |text| is_path(text).then(|| text.to_owned()))
}

/// Decodes PEM text or the path of a PEM file, which is not empty.
pub(crate) fn text<'de, D: Deserializer<'de>>(source: D) -> Result<String, D::Error> {
    checked(source, "PEM text or the path of a PEM file", |text| {
        (!text.is_empty()).then(|| text.to_owned())
    })
}

/// Decodes a list of PEM texts or paths of PEM files.
pub(crate) fn texts<'de, D: Deserializer<'de>>(source: D) -> Result<Vec<String>, D::Error> {
    let texts: Vec<TextItem> = list(source)?;
    Ok(texts.into_iter().map(|text| text.0).collect())
}

/// Decodes a SHA-256 digest.
pub(crate) fn digest<'de, D: Deserializer<'de>>(source: D) -> Result<String, D::Error> {
    checked(source, "a SHA-256 digest of 64 lower-case hexadecimal digits", |text| {
        is_digest(text).then(|| text.to_owned())
    })
}

/// Decodes a list of SHA-256 digests.
pub(crate) fn digests<'de, D: Deserializer<'de>>(source: D) -> Result<Vec<String>, D::Error> {
    let digests: Vec<DigestItem> = list(source)?;
    Ok(digests.into_iter().map(|digest| digest.0).collect())
}

/// Decodes a list with at least one element.
pub(crate) fn list<'de, T: Deserialize<'de>, D: Deserializer<'de>>(
    source: D,
) -> Result<Vec<T>, D::Error> {
    let entries = Vec::deserialize(source)?;
    if entries.is_empty() {
        return Err(expected("a list with at least one entry"));
    }
    Ok(entries)
}

/// Decodes a duration in milliseconds.
pub(crate) fn millis<'de, D: Deserializer<'de>>(source: D) -> Result<u64, D::Error> {
    integer::<u64, 1, MAX_MILLIS, D>(source)
}

/// Decodes an integer from `MIN_VALUE` to `MAX_VALUE`, both inclusive.
pub(crate) fn integer<'de, T, const MIN_VALUE: u64, const MAX_VALUE: u64, D>(
    source: D,
) -> Result<T, D::Error>
where
    T: TryFrom<u64>,
    D: Deserializer<'de>,
{
    let value = Value::deserialize(source)?;
    let number = value.as_u64().filter(|number| (MIN_VALUE..=MAX_VALUE).contains(number));
    number
        .and_then(|number| T::try_from(number).ok())
        .ok_or_else(|| expected(&format!("a whole number from {MIN_VALUE} to {MAX_VALUE}")))
}

/// PEM text or the path of a PEM file, as an element of a list.
#[derive(Deserialize)]
struct TextItem(#[serde(deserialize_with = "text")] String);

/// A name, as an element of a list.
#[derive(Deserialize)]
struct NameItem(#[serde(deserialize_with = "name")] Name);

/// A digest, as an element of a list.
#[derive(Deserialize)]
struct DigestItem(#[serde(deserialize_with = "digest")] String);

fn checked<'de, T, D: Deserializer<'de>>(
    source: D,
    allowed: &str,
    check: impl FnOnce(&str) -> Option<T>,
) -> Result<T, D::Error> {
    let value = Value::deserialize(source)?;
    value.as_str().and_then(check).ok_or_else(|| expected(allowed))
}

fn expected<E: Error>(allowed: &str) -> E {
    E::custom(format!("expected {allowed}"))
}

fn is_name(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    (1..=MAX_NAME_CHARS).contains(&text.len()) && text.bytes().all(allowed)
}

fn is_model(text: &str) -> bool {
    text.split_once('@').is_some_and(|(name, version)| is_name(name) && is_name(version))
}

fn is_path(text: &str) -> bool {
    text.starts_with('/') && text.bytes().all(|byte| byte.is_ascii_graphic())
}

fn is_digest(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
    text.len() == DIGEST_DIGITS && text.bytes().all(allowed)
}
