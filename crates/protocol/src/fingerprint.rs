//! Conversions between a request's fingerprint and its message.

use crate::generated::RequestFingerprint as Message;
use bridgevane_types::RequestFingerprint;

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
