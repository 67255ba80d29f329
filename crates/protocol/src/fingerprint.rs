//! Conversions between the fingerprints of requests and parts of prompts and their messages.

use crate::generated::{PartFingerprint as PartMessage, RequestFingerprint as Message};
use bridgevane_types::{PartFingerprint, RequestFingerprint};

impl From<RequestFingerprint> for Message {
    fn from(request: RequestFingerprint) -> Self {
        Self {
            customer: request.customer,
            content: request.content,
        }
    }
}

impl From<Message> for RequestFingerprint {
    fn from(message: Message) -> Self {
        Self {
            customer: message.customer,
            content: message.content,
        }
    }
}

impl From<PartFingerprint> for PartMessage {
    fn from(part: PartFingerprint) -> Self {
        Self {
            service: part.service,
            part: part.part,
        }
    }
}

impl From<PartMessage> for PartFingerprint {
    fn from(message: PartMessage) -> Self {
        Self {
            service: message.service,
            part: message.part,
        }
    }
}
