//! Encoding of frames by postcard, within a size limit.

use std::error;
use std::fmt;

use crate::Frame;

/// Largest encoded frame, in bytes.
pub const LIMIT: usize = 1 << 20;

/// Why a frame could not be encoded or decoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Error {
    /// The frame is larger than [`LIMIT`].
    TooLarge,
    /// The bytes are not exactly one frame.
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
    /// Returns [`Error::TooLarge`] when the frame passes the size limit.
    pub fn encode(&self) -> Result<Vec<u8>, Error> {
        let bytes = postcard::to_stdvec(self).map_err(|_| Error::Malformed)?;
        if bytes.len() > LIMIT {
            return Err(Error::TooLarge);
        }
        Ok(bytes)
    }

    /// Decodes a frame from exactly these bytes.
    ///
    /// # Errors
    /// Returns [`Error::Malformed`] when the bytes are no frame or hold more than one.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        if bytes.len() > LIMIT {
            return Err(Error::TooLarge);
        }
        let (frame, rest) = postcard::take_from_bytes(bytes).map_err(|_| Error::Malformed)?;
        if rest.is_empty() { Ok(frame) } else { Err(Error::Malformed) }
    }
}
