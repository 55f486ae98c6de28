//! Bodies in chunks, read strictly and with bounds: what can't be read ends the body at once.

use bytes::{Buf, BytesMut};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum At {
    Size,
    Data(usize),
    /// The line's end that follows the data of a chunk.
    DataEnd,
    Trailers,
    Done,
}

/// Longest line that names a size, and all trailers together, in bytes.
const LINE_BYTES: usize = 256;
const TRAILER_BYTES: usize = 4096;

/// What is no body in chunks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ChunkError {
    #[error("the size of a chunk can't be read")]
    Size,
    #[error("a chunk is larger than allowed")]
    Large,
    #[error("a chunk does not end where its size says")]
    End,
    #[error("trailers are too long")]
    Trailers,
}

/// Lives for one body.
#[derive(Debug)]
pub struct Chunks {
    at: At,
    largest: usize,
    trailers: usize,
}

impl Chunks {
    /// No chunk may be larger than this, in bytes.
    pub fn new(largest: usize) -> Self {
        Chunks { at: At::Size, largest, trailers: 0 }
    }

    pub fn done(&self) -> bool {
        self.at == At::Done
    }

    /// Takes what can be read from `from` and appends the data to `into`; true once the body has ended.
    ///
    /// # Errors
    /// See [`ChunkError`].
    pub fn take(&mut self, from: &mut BytesMut, into: &mut BytesMut) -> Result<bool, ChunkError> {
        loop {
            match self.at {
                At::Done => return Ok(true),
                // A line without a digit would be read as size 0.
                At::Size if from.first().is_some_and(|byte| !byte.is_ascii_hexdigit()) => {
                    return Err(ChunkError::Size);
                }
                At::Size => match httparse::parse_chunk_size(from) {
                    Ok(httparse::Status::Complete((line, size))) => {
                        if size > self.largest as u64 {
                            return Err(ChunkError::Large);
                        }
                        from.advance(line);
                        self.at = if size == 0 { At::Trailers } else { At::Data(size as usize) };
                    }
                    Ok(httparse::Status::Partial) if from.len() <= LINE_BYTES => return Ok(false),
                    _ => return Err(ChunkError::Size),
                },
                At::Data(left) => {
                    let part = left.min(from.len());
                    if part == 0 {
                        return Ok(false);
                    }
                    into.extend_from_slice(&from[..part]);
                    from.advance(part);
                    self.at = if part == left { At::DataEnd } else { At::Data(left - part) };
                }
                At::DataEnd => {
                    let end = &from[..from.len().min(2)];
                    if !b"\r\n".starts_with(end) {
                        return Err(ChunkError::End);
                    }
                    if end.len() < 2 {
                        return Ok(false);
                    }
                    from.advance(2);
                    self.at = At::Size;
                }
                At::Trailers => {
                    let Some(line) = from.iter().position(|byte| *byte == b'\n') else {
                        let long = self.trailers + from.len() > TRAILER_BYTES;
                        return if long { Err(ChunkError::Trailers) } else { Ok(false) };
                    };
                    self.trailers += line + 1;
                    if self.trailers > TRAILER_BYTES {
                        return Err(ChunkError::Trailers);
                    }
                    let empty = matches!(&from[..line], b"" | b"\r");
                    from.advance(line + 1);
                    if empty {
                        self.at = At::Done;
                    }
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
