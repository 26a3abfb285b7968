//! Encoding and decoding of frames in the postcard format, within a size limit.

use std::error;
use std::fmt;

use crate::Frame;

/// Maximum size of an encoded frame, in bytes.
pub const LIMIT: usize = 1 << 20;

/// An error of encoding or decoding a frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Error {
    /// The frame is larger than [`LIMIT`].
    TooLarge,
    /// The bytes are not a valid frame, or are followed by further bytes.
    Malformed,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge => write!(f, "frame is larger than {LIMIT} bytes"),
            Self::Malformed => f.write_str("bytes are not a frame"),
        }
    }
}

impl error::Error for Error {}

impl Frame {
    /// Encodes the frame.
    ///
    /// # Errors
    /// Returns [`Error::TooLarge`] if the encoded frame exceeds [`LIMIT`], and [`Error::Malformed`] if postcard can't
    /// encode it.
    pub fn encode(&self) -> Result<Vec<u8>, Error> {
        let bytes = postcard::to_stdvec(self).map_err(|_| Error::Malformed)?;
        if bytes.len() > LIMIT {
            return Err(Error::TooLarge);
        }
        Ok(bytes)
    }

    /// Decodes a frame, which must take up all of the bytes.
    ///
    /// # Errors
    /// Returns [`Error::TooLarge`] if there are more bytes than [`LIMIT`], and [`Error::Malformed`] if they are not a
    /// valid frame or hold more than one.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        if bytes.len() > LIMIT {
            return Err(Error::TooLarge);
        }
        let (frame, rest) = postcard::take_from_bytes(bytes).map_err(|_| Error::Malformed)?;
        if rest.is_empty() { Ok(frame) } else { Err(Error::Malformed) }
    }
}
