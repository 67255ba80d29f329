//! The answer of an endpoint, which arrives on a connection to the endpoint or through another
//! daemon.

use crate::endpoints::endpoint::Endpoint;
use crate::forwarding::attempt::ForwardedAnswer;
use crate::requests::attempt::EndpointAnswer;
use bridgevane_answer_limits::AnswerBody;
use http::response;
use std::sync::Arc;

/// An answer whose body hasn't been read yet.
#[derive(Debug)]
pub(crate) enum Answer {
    /// From an endpoint.
    Endpoint(Box<EndpointAnswer>),
    /// Through another daemon.
    Daemon(Box<ForwardedAnswer>),
}

impl Answer {
    /// Returns status and headers.
    pub(crate) fn head(&self) -> &response::Parts {
        match self {
            Self::Endpoint(answer) => &answer.head,
            Self::Daemon(answer) => &answer.head,
        }
    }

    /// Returns the body.
    pub(crate) fn body_mut(&mut self) -> &mut AnswerBody {
        match self {
            Self::Endpoint(answer) => &mut answer.body,
            Self::Daemon(answer) => &mut answer.body,
        }
    }

    /// Returns the endpoint; `None` if the answer arrives through another daemon.
    pub(crate) fn endpoint(&self) -> Option<&Arc<Endpoint>> {
        match self {
            Self::Endpoint(answer) => Some(answer.endpoint()),
            Self::Daemon(_) => None,
        }
    }

    /// Returns the software version of the endpoint, for logs; "-" if it isn't known here.
    pub(crate) fn version_text(&self) -> String {
        let version = self
            .endpoint()
            .and_then(|endpoint| endpoint.record.load().version.clone());
        version.map_or_else(|| "-".to_owned(), |version| version.to_string())
    }

    /// Returns the name of the endpoint or the address of the daemon, for logs.
    pub(crate) fn source_text(&self) -> String {
        match self {
            Self::Endpoint(answer) => answer.endpoint().record.load().id.to_string(),
            Self::Daemon(answer) => answer.daemon.to_string(),
        }
    }
}
