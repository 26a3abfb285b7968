//! The QUIC configuration of both ends of a link.

use std::sync::Arc;
use std::time::Duration;

use error_stack::Report;
use error_stack::ResultExt;
use quinn::AckFrequencyConfig;
use quinn::ClientConfig;
use quinn::IdleTimeout;
use quinn::ServerConfig;
use quinn::TransportConfig;
use quinn::VarInt;
use quinn::crypto::rustls::QuicClientConfig;
use quinn::crypto::rustls::QuicServerConfig;
use rustls::client::Resumption;
use rustls::server::WebPkiClientVerifier;
use rustls::version::TLS13;

use crate::Error;
use crate::Identity;
use crate::identity::provider;

/// Number of packets that a peer may leave unacknowledged.
const UNACKNOWLEDGED_PACKETS: VarInt = VarInt::from_u32(16);
/// Maximum time for which a peer may leave a packet unacknowledged.
const ACKNOWLEDGEMENT_DELAY: Duration = Duration::from_millis(250);
/// The application protocol (ALPN) of links.
const PROTOCOL: &[u8] = b"aspenline-mesh/1";
/// Time without traffic after which a link is closed, in milliseconds.
const IDLE_TIMEOUT: VarInt = VarInt::from_u32(300_000);
/// Round-trip time assumed for a new connection.
const INITIAL_RTT: Duration = Duration::from_millis(50);
/// Size of the buffer for received datagrams, in bytes.
const DATAGRAM_BUFFER_BYTES: usize = 256 * 1024;

/// Returns the configuration of the end that opens links.
pub(crate) fn client(identity: &Identity) -> Result<ClientConfig, Report<Error>> {
    let mut crypto = rustls::ClientConfig::builder_with_provider(provider())
        .with_protocol_versions(&[&TLS13])
        .change_context(Error::Unusable)?
        .with_root_certificates(identity.roots()?)
        .with_client_auth_cert(identity.chain()?, identity.key()?)
        .change_context(Error::KeyMismatch)?;
    crypto.alpn_protocols = vec![PROTOCOL.to_vec()];
    crypto.resumption = Resumption::disabled();
    let crypto = QuicClientConfig::try_from(crypto).change_context(Error::Unusable)?;
    let mut config = ClientConfig::new(Arc::new(crypto));
    config.transport_config(transport());
    Ok(config)
}

/// Returns the configuration of the end that accepts links.
pub(crate) fn server(identity: &Identity) -> Result<ServerConfig, Report<Error>> {
    let verifier = WebPkiClientVerifier::builder_with_provider(identity.roots()?, provider())
        .build()
        .change_context(Error::Untrusted)?;
    let mut crypto = rustls::ServerConfig::builder_with_provider(provider())
        .with_protocol_versions(&[&TLS13])
        .change_context(Error::Unusable)?
        .with_client_cert_verifier(verifier)
        .with_single_cert(identity.chain()?, identity.key()?)
        .change_context(Error::KeyMismatch)?;
    crypto.alpn_protocols = vec![PROTOCOL.to_vec()];
    crypto.send_tls13_tickets = 0;
    let crypto = QuicServerConfig::try_from(crypto).change_context(Error::Unusable)?;
    let mut config = ServerConfig::with_crypto(Arc::new(crypto));
    config.transport_config(transport());
    config.migration(false);
    Ok(config)
}

/// Returns settings for few and late acknowledgements: frames flow one way on a link, so acknowledgements need packets
/// of their own.
fn acknowledgements() -> AckFrequencyConfig {
    let mut config = AckFrequencyConfig::default();
    config.ack_eliciting_threshold(UNACKNOWLEDGED_PACKETS);
    config.max_ack_delay(Some(ACKNOWLEDGEMENT_DELAY));
    config
}

fn transport() -> Arc<TransportConfig> {
    let mut config = TransportConfig::default();
    config.max_idle_timeout(Some(IdleTimeout::from(IDLE_TIMEOUT)));
    config.initial_rtt(INITIAL_RTT);
    config.max_concurrent_bidi_streams(VarInt::from_u32(0));
    config.max_concurrent_uni_streams(VarInt::from_u32(1));
    config.datagram_receive_buffer_size(Some(DATAGRAM_BUFFER_BYTES));
    config.mtu_discovery_config(None);
    config.ack_frequency_config(Some(acknowledgements()));
    Arc::new(config)
}
