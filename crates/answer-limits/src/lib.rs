//! What a client takes from an HTTP/1.1 connection: bounds on what it reads without getting an answer,
//! the statuses of final answers, and when a connection may carry another request.
//!
//! Input: the bytes read from the socket since the caller last got a part of an answer: the head of a
//! final answer, a piece of its body, or its trailers.
//!
//! Rule: once they exceed [`MAX_BYTES_WITHOUT_PROGRESS`], reading fails with [`AnswerWithoutEnd`], which
//! ends the connection. The request on it may have run.
//!
//! Reason: the HTTP library bounds heads, chunk extensions and trailers, but skips interim answers,
//! leading zeros of a chunk's size and blanks behind it for as long as they arrive, at full speed.
//! Answers of any length pass: their bytes are counted anew with each part that the caller takes, and
//! the library reads ahead by less than the bound.

mod body;
mod early;
mod progress;
mod status;
mod stream;

pub use body::AnswerBody;
pub use early::is_read_once_answered;
pub use progress::{AnswerProgress, AnswerWithoutEnd, is_without_end};
pub use status::is_final_status;
pub use stream::CountedStream;

/// The size of the buffer with which the HTTP library reads answers on a [`CountedStream`], in bytes. A
/// VM has some 100 MB, and many answers are read at once; heads of answers are far smaller.
pub const READ_BUFFER_BYTES: usize = 32 * 1024;

/// The most that is read without progress of the answer, in bytes. Between two parts of an answer the
/// library reads at most a buffer and 16 KiB of chunk extensions or trailers; it may do so twice before
/// the first part is seen to be taken.
pub const MAX_BYTES_WITHOUT_PROGRESS: usize = 4 * READ_BUFFER_BYTES;
