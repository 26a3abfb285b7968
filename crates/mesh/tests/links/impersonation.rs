//! A peer with a trusted certificate that uses the name of another router.

use std::sync::Arc;

use base::Name;
use mesh::Candidate;
use mesh::Identity;
use mesh::Record;
use mesh::Version;
use mesh::issue;
use quinn::ClientConfig;
use quinn::Connection;
use quinn::ConnectionError;
use quinn::Endpoint;
use quinn::SendStream;
use quinn::VarInt;
use quinn::crypto::rustls::QuicClientConfig;
use rustls::RootCertStore;
use rustls::pki_types::CertificateDer;
use rustls::pki_types::PrivateKeyDer;
use rustls::pki_types::pem::PemObject;

use crate::common::candidate;
use crate::common::loopback;
use crate::common::start;
use crate::common::state;

/// Returns a QUIC client with this identity that does not use the code of the mesh.
fn client(identity: &Identity) -> ClientConfig {
    let mut roots = RootCertStore::empty();
    let trusted = CertificateDer::from_pem_slice(identity.trust_pem[0].as_bytes());
    roots.add(trusted.expect("a certificate")).expect("an authority");
    let chain = CertificateDer::pem_slice_iter(identity.certificate_pem.as_bytes());
    let chain: Result<Vec<_>, _> = chain.collect();
    let key = PrivateKeyDer::from_pem_slice(identity.key_pem.as_bytes()).expect("a key");
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut crypto = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .expect("a version")
        .with_root_certificates(roots)
        .with_client_auth_cert(chain.expect("certificates"), key)
        .expect("a matching key");
    crypto.alpn_protocols = vec![b"aspenline-mesh/1".to_vec()];
    ClientConfig::new(Arc::new(QuicClientConfig::try_from(crypto).expect("usable with QUIC")))
}

/// An open link.
struct Link {
    connection: Connection,
    _stream: SendStream,
}

/// Opens a link and sends the first message with the given name.
async fn open_link(endpoint: &Endpoint, identity: &Identity, name: &str, to: &Candidate) -> Link {
    let connecting = endpoint.connect_with(client(identity), to.address, to.name.as_str());
    let connection = connecting.expect("an address").await.expect("a trusted certificate");
    let address = endpoint.local_addr().expect("a bound socket");
    let record =
        Record { name: Name::new(name), address, zone: "a".into(), region: "north".into() };
    let message = postcard::to_stdvec(&(record, Version::default(), 1_u64)).expect("a message");
    let length = u32::try_from(message.len()).expect("a short message");
    let mut stream = connection.open_uni().await.expect("a stream");
    stream.write_all(&length.to_be_bytes()).await.expect("an open stream");
    stream.write_all(&message).await.expect("an open stream");
    Link { connection, _stream: stream }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_peer_whose_certificate_carries_another_name_is_rejected() {
    let fleet = issue::authority("fleet").expect("an authority");
    let keys = |name: &str| issue::member(&fleet, &Name::new(name)).expect("an identity");
    let r1 = start("r1", keys("r1")).await;
    let endpoint = Endpoint::client(loopback()).expect("a socket");
    let address = endpoint.local_addr().expect("a bound socket");
    let listed = Candidate { name: "r2".into(), address, ..candidate(&r1) };
    r1.mesh.set_candidates(vec![candidate(&r1), listed]);
    let impostor = open_link(&endpoint, &keys("r3"), "r2", &candidate(&r1)).await;
    let ConnectionError::ApplicationClosed(close) = impostor.connection.closed().await else {
        panic!("the router has not closed the link");
    };
    assert_eq!(close.error_code, VarInt::from_u32(1));
    assert_eq!(state(&r1, "r2"), None);
    let genuine = open_link(&endpoint, &keys("r2"), "r2", &candidate(&r1)).await;
    genuine.connection.accept_uni().await.expect("the router replies");
    r1.mesh.shutdown().await;
}
