//! Reads the few JSON bodies that the store gets.

/// Returns the objects in the array under a key: all of them are flat.
pub fn objects<'a>(text: &'a str, key: &str) -> Vec<&'a str> {
    let Some(start) = text.find(&format!("\"{key}\":[")) else {
        return Vec::new();
    };
    let rest = &text[start..];
    let array = &rest[..rest.find(']').unwrap_or(rest.len())];
    array
        .split('{')
        .skip(1)
        .filter_map(|object| object.split('}').next())
        .collect()
}

/// Returns a text or number in a flat object; empty if there is none.
pub fn field<'a>(object: &'a str, key: &str) -> &'a str {
    let Some(start) = object.find(&format!("\"{key}\":")) else {
        return "";
    };
    let value = &object[start + key.len() + 3..];
    match value.strip_prefix('"') {
        Some(text) => text.split('"').next().unwrap_or(""),
        None => value.split([',', '}']).next().unwrap_or("").trim(),
    }
}

/// Returns a number in a flat object; 0 if there is none.
pub fn number(object: &str, key: &str) -> u64 {
    field(object, key).parse().unwrap_or(0)
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Returns bytes in standard base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::with_capacity(bytes.len().div_ceil(3) * 4);
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for position in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * position)) as usize & 63];
            text.push(if position <= chunk.len() {
                digit as char
            } else {
                '='
            });
        }
    }
    text
}
