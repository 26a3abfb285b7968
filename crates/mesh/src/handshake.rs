//! The first message on a link, and the encoding of length-delimited messages.

use quinn::ReadExactError;
use quinn::RecvStream;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::Record;
use crate::Version;

/// Size of the length prefix of a message, in bytes.
const LENGTH_BYTES: usize = 4;
/// Maximum size of a handshake or confirmation message, in bytes.
const CONTROL_LIMIT: usize = 4_096;

/// The first message of the router that opens a link.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Hello {
    /// The name, address, zone and region of the sender.
    pub(crate) record: Record,
    /// The version of the sender.
    pub(crate) version: Version,
    /// The session that the following frames belong to.
    pub(crate) session: u64,
}

/// Returns a message with a length prefix.
pub(crate) fn delimited(message: &[u8]) -> Vec<u8> {
    let length = u32::try_from(message.len()).expect("messages are bounded");
    let mut bytes = Vec::with_capacity(LENGTH_BYTES + message.len());
    bytes.extend_from_slice(&length.to_be_bytes());
    bytes.extend_from_slice(message);
    bytes
}

/// Encodes a control message with a length prefix.
pub(crate) fn encode<T: Serialize>(message: &T) -> Vec<u8> {
    delimited(&postcard::to_stdvec(message).expect("control messages can be encoded"))
}

/// Reads and decodes a control message. Returns `None` when the stream ends or the message is malformed.
pub(crate) async fn decode<T: DeserializeOwned>(stream: &mut RecvStream) -> Option<T> {
    let bytes = read(stream, CONTROL_LIMIT).await.ok()??;
    postcard::from_bytes(&bytes).ok()
}

/// Reads the next length-delimited message. Returns `None` when it exceeds the limit.
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
