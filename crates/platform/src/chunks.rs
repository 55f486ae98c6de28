//! Decoder of the chunked transfer coding. It is strict and limits the size of lines, chunks and trailers;
//! the first violation is an error.

use bytes::{Buf, BytesMut};

use crate::MAX_HEAD_FIELDS;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Size,
    Data(usize),
    /// The CRLF that follows the data of a chunk.
    DataEnd,
    Trailers,
    Done,
}

/// Longest line that holds a chunk's size, and most bytes of all trailers together.
const MAX_SIZE_LINE_BYTES: usize = 256;
const MAX_TRAILER_BYTES: usize = 4096;

/// Why a body is not validly chunked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ChunkError {
    #[error("invalid chunk size")]
    Size,
    #[error("a chunk exceeds the allowed size")]
    TooLarge,
    #[error("no CRLF after the data of a chunk")]
    End,
    #[error("what follows the last chunk is not a list of header fields, or is too long")]
    Trailers,
}

/// Decodes one chunked body.
#[derive(Debug)]
pub struct Chunks {
    state: State,
    max_chunk_bytes: usize,
}

impl Chunks {
    /// A chunk of more than `max_chunk_bytes` is an error.
    pub fn new(max_chunk_bytes: usize) -> Self {
        Chunks { state: State::Size, max_chunk_bytes }
    }

    pub fn done(&self) -> bool {
        self.state == State::Done
    }

    /// Consumes what can be decoded from `input` and appends the data to `output`; true once the body has
    /// ended.
    ///
    /// # Errors
    /// See [`ChunkError`].
    pub fn take(&mut self, input: &mut BytesMut, output: &mut BytesMut) -> Result<bool, ChunkError> {
        loop {
            match self.state {
                State::Done => return Ok(true),
                // The parser would read a line without a digit as size 0.
                State::Size if input.first().is_some_and(|byte| !byte.is_ascii_hexdigit()) => {
                    return Err(ChunkError::Size);
                }
                State::Size => match httparse::parse_chunk_size(input) {
                    Ok(httparse::Status::Complete((line, size))) => {
                        if size > self.max_chunk_bytes as u64 {
                            return Err(ChunkError::TooLarge);
                        }
                        input.advance(line);
                        self.state = if size == 0 { State::Trailers } else { State::Data(size as usize) };
                    }
                    Ok(httparse::Status::Partial) if input.len() <= MAX_SIZE_LINE_BYTES => return Ok(false),
                    _ => return Err(ChunkError::Size),
                },
                State::Data(left) => {
                    let part = left.min(input.len());
                    if part == 0 {
                        return Ok(false);
                    }
                    output.extend_from_slice(&input[..part]);
                    input.advance(part);
                    self.state = if part == left { State::DataEnd } else { State::Data(left - part) };
                }
                State::DataEnd => {
                    let end = &input[..input.len().min(2)];
                    if !b"\r\n".starts_with(end) {
                        return Err(ChunkError::End);
                    }
                    if end.len() < 2 {
                        return Ok(false);
                    }
                    input.advance(2);
                    self.state = State::Size;
                }
                State::Trailers => {
                    let Some(section) = trailer_section_bytes(input)? else { return Ok(false) };
                    input.advance(section);
                    self.state = State::Done;
                }
            }
        }
    }
}

/// Length of the trailers at the front of `input`, with the empty line that ends them; None while they are
/// incomplete. A line that ends in a bare LF is an error: such lines are data whose chunk was given the size 0.
fn trailer_section_bytes(input: &[u8]) -> Result<Option<usize>, ChunkError> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEAD_FIELDS];
    let available = &input[..input.len().min(MAX_TRAILER_BYTES)];
    let (section, parsed) = match httparse::parse_headers(available, &mut fields) {
        Ok(httparse::Status::Complete((length, _))) => (&available[..length], Some(length)),
        Ok(httparse::Status::Partial) if input.len() <= MAX_TRAILER_BYTES => (available, None),
        _ => return Err(ChunkError::Trailers),
    };
    let lines = section.split_inclusive(|byte| *byte == b'\n');
    let bare_line_feed = lines.filter(|line| line.ends_with(b"\n")).any(|line| !line.ends_with(b"\r\n"));
    if bare_line_feed {
        return Err(ChunkError::Trailers);
    }
    Ok(parsed)
}

#[cfg(test)]
mod tests;
