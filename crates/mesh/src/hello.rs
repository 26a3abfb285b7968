//! The first message on a link, and the length-delimited messages after it.

use quinn::ReadExactError;
use quinn::RecvStream;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::Record;
use crate::Version;

/// Bytes of the length before each message.
const LENGTH_BYTES: usize = 4;
/// Largest small message, in bytes.
const SMALL_LIMIT: usize = 4_096;

/// Who opens the link.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Hello {
    /// The name, address and place of the sender.
    pub(crate) record: Record,
    /// The version of the sender.
    pub(crate) version: Version,
    /// The lane of the frames that follow.
    pub(crate) lane: u64,
}

/// Returns a message with its length before it.
pub(crate) fn delimited(message: &[u8]) -> Vec<u8> {
    let length = u32::try_from(message.len()).expect("messages are bounded");
    let mut bytes = Vec::with_capacity(LENGTH_BYTES + message.len());
    bytes.extend_from_slice(&length.to_be_bytes());
    bytes.extend_from_slice(message);
    bytes
}

/// Encodes a small message with its length before it.
pub(crate) fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    delimited(&postcard::to_stdvec(message).expect("small messages can be encoded"))
}

/// Reads and decodes a small message, or returns nothing when the stream ends or holds something else.
pub(crate) async fn decode<T: DeserializeOwned>(stream: &mut RecvStream) -> Option<T> {
    let bytes = read(stream, SMALL_LIMIT).await.ok()??;
    postcard::from_bytes(&bytes).ok()
}

/// Reads the next message, or none when the stream has ended or the message passes the limit.
pub(crate) async fn read(
    stream: &mut RecvStream,
    limit: usize,
) -> Result<Option<Vec<u8>>, ReadExactError> {
    let mut length = [0; LENGTH_BYTES];
    stream.read_exact(&mut length).await?;
    let length = usize::try_from(u32::from_be_bytes(length)).unwrap_or(usize::MAX);
    if length > limit {
        return Ok(None);
    }
    let mut message = vec![0; length];
    stream.read_exact(&mut message).await?;
    Ok(Some(message))
}
