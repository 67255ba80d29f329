//! Request headers: decodes them, and selects those that are forwarded.
//!
//! A header that is present and can't be decoded counts as absent, and is logged; see
//! [`crate::unreadable_headers`].

use crate::decisions::admission::refusal::RefusalReason;
use crate::decisions::forwarding::RequestOrigin;
use crate::forwarding;
use crate::header_names::HeaderNames;
use crate::prompt::{Prompt, PromptPart};
use crate::requests::inbound::TakenUpStream;
use crate::unreadable_headers::HeaderReader;
use bridgevane_types::{DurationMs, Tokens};
use http::header::{self, HeaderName};
use http::{HeaderMap, HeaderValue, Uri};
use xxhash_rust::xxh3::xxh3_64;

/// Headers that apply to one connection only.
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    header::PROXY_AUTHENTICATE,
    HeaderName::from_static("proxy-connection"),
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Removes the headers that apply to one connection only: the usual ones, and those that `Connection`
/// lists, unless they are meant for the other end.
pub(crate) fn remove_hop_by_hop(names: &HeaderNames, headers: &mut HeaderMap) {
    let connection = headers.get_all(header::CONNECTION).iter();
    // Entries that aren't valid header names can't match a header.
    let listed: Vec<HeaderName> = connection
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .filter(|name| !names.end_to_end.contains(name))
        .collect();
    for name in listed.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}

/// Returns the headers that are forwarded: without those of the connection, the key, and those that
/// only the system itself may set.
pub(crate) fn forwarded(names: &HeaderNames, mut headers: HeaderMap) -> HeaderMap {
    remove_hop_by_hop(names, &mut headers);
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::AUTHORIZATION);
    headers.remove(header::EXPECT);
    forwarding::headers::remove(&mut headers);
    for name in &names.reserved {
        headers.remove(name);
    }
    headers
}

/// Returns the host of a request, in lower case and without a port.
pub(crate) fn host(uri: &Uri, headers: &HeaderMap) -> Option<String> {
    let named = headers
        .get(header::HOST)
        .and_then(|value| value.to_str().ok());
    let host = named.or_else(|| uri.host())?;
    let without_port = match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    };
    Some(without_port.to_ascii_lowercase())
}

/// Returns the key of a request. An undecodable key is refused like an unknown one.
pub(crate) fn key<'a>(names: &HeaderNames, headers: &'a HeaderMap) -> Option<&'a str> {
    let value = headers.get(header::AUTHORIZATION)?;
    // The caller refuses a request without a key with status 401.
    let text = value.to_str().ok()?;
    let (scheme, key) = text.split_once(' ')?;
    scheme
        .eq_ignore_ascii_case(names.key_scheme)
        .then(|| key.trim())
}

/// Returns the identifier of a request.
///
/// # Errors
/// [`RefusalReason::Malformed`] if the request has none, an empty one, or several.
pub(crate) fn identifier(
    names: &HeaderNames,
    headers: &HeaderMap,
) -> Result<HeaderValue, RefusalReason> {
    let mut found = headers.get_all(&names.request_id).iter();
    let first = found.next().ok_or(RefusalReason::Malformed)?;
    match found.next() {
        None if !first.is_empty() => Ok(first.clone()),
        _ => Err(RefusalReason::Malformed),
    }
}

/// Returns the stream that a request takes up; only another daemon may name its version.
pub(crate) fn taken_up(
    names: &HeaderNames,
    origin: RequestOrigin,
    headers: &HeaderMap,
) -> Option<TakenUpStream> {
    let version = forwarding::headers::version(headers);
    Some(TakenUpStream {
        version: version.filter(|_| origin.is_daemon()),
        last_event_id: headers.get(&names.last_event_id)?.clone(),
        first_attempt: headers.get(&names.resumes).cloned(),
    })
}

/// Returns how long the client will wait, if the header is present.
pub(crate) fn client_timeout(
    names: &HeaderNames,
    headers: &HeaderReader<'_>,
) -> Option<DurationMs> {
    headers.parsed::<u64>(&names.deadline_ms).map(DurationMs)
}

/// Decodes the headers that describe the prompt; an undecodable part ends the list of parts.
pub(crate) fn prompt(names: &HeaderNames, headers: &HeaderReader<'_>) -> Prompt {
    let parts = prompt_parts(names, headers);
    let tokens_of_parts: u64 = parts.iter().map(|part| part.tokens.0).sum();
    let name = &names.token_counts;
    let counts = headers.text(name);
    let counts = counts.and_then(|text| headers.decoded(name, text.split_once(',').ok_or(())));
    let (prompt, answer) = counts.unzip();
    let count = |text: Option<&str>| -> Option<u64> { headers.decoded(name, text?.trim().parse()) };
    Prompt {
        tokens: Tokens(count(prompt).unwrap_or(tokens_of_parts)),
        // Without a maximum the answer may have any length; it is treated as a short one.
        max_answer_tokens: Tokens(count(answer).unwrap_or(0)),
        parts,
    }
}

fn prompt_parts(names: &HeaderNames, headers: &HeaderReader<'_>) -> Vec<PromptPart> {
    let Some(listed) = headers.text(&names.prompt_parts) else {
        return Vec::new();
    };
    let parts = listed.split(',');
    let parts =
        parts.map_while(|part| headers.decoded(&names.prompt_parts, prompt_part(part.trim())));
    parts.collect()
}

/// The error for a malformed part of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct InvalidPromptPart;

/// Parses "name:tokens".
fn prompt_part(text: &str) -> Result<PromptPart, InvalidPromptPart> {
    let (name, tokens) = text.split_once(':').ok_or(InvalidPromptPart)?;
    Ok(PromptPart {
        id: xxh3_64(name.as_bytes()),
        tokens: Tokens(tokens.parse().map_err(|_| InvalidPromptPart)?),
    })
}
