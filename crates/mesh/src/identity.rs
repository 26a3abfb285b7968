//! The certificate and key of a router, and the authorities that it trusts.

use std::sync::Arc;

use base::Name;
use error_stack::Report;
use error_stack::ResultExt;
use rustls::CertificateError;
use rustls::RootCertStore;
use rustls::client::WebPkiServerVerifier;
use rustls::client::danger::ServerCertVerifier;
use rustls::client::verify_server_name;
use rustls::crypto::CryptoProvider;
use rustls::pki_types::CertificateDer;
use rustls::pki_types::PrivateKeyDer;
use rustls::pki_types::ServerName;
use rustls::pki_types::UnixTime;
use rustls::pki_types::pem::PemObject;
use rustls::server::ParsedCertificate;
use rustls::server::WebPkiClientVerifier;
use rustls::sign::CertifiedKey;

use crate::Error;

/// The certificate, key and trusted authorities of a router, from its settings.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Identity {
    /// The certificate, followed by intermediate certificates, if any.
    pub certificate_pem: String,
    /// The private key.
    pub key_pem: String,
    /// The trusted authorities. There is more than one during a rotation.
    pub trust_pem: Vec<String>,
}

impl Identity {
    /// Checks that a router with this name can use the identity now.
    ///
    /// # Errors
    /// Returns the first error found.
    pub fn check(&self, name: &Name) -> Result<(), Report<Error>> {
        let chain = self.chain()?;
        let key = self.key()?;
        let roots = self.roots()?;
        check_key(&chain, key)?;
        let now = UnixTime::now();
        check_server(&chain, &roots, name, now)?;
        check_client(&chain, roots, now)
    }

    pub(crate) fn chain(&self) -> Result<Vec<CertificateDer<'static>>, Report<Error>> {
        certificates(&self.certificate_pem, "the certificate")
    }

    pub(crate) fn key(&self) -> Result<PrivateKeyDer<'static>, Report<Error>> {
        PrivateKeyDer::from_pem_slice(self.key_pem.as_bytes())
            .change_context(Error::NotPem("the key"))
    }

    pub(crate) fn roots(&self) -> Result<Arc<RootCertStore>, Report<Error>> {
        let mut store = RootCertStore::empty();
        for text in &self.trust_pem {
            for certificate in certificates(text, "a trusted authority")? {
                store.add(certificate).change_context(Error::NotPem("a trusted authority"))?;
            }
        }
        if store.is_empty() {
            return Err(Report::new(Error::NotPem("the list of trusted authorities")));
        }
        Ok(Arc::new(store))
    }
}

/// Returns the cryptography provider of the mesh.
pub(crate) fn provider() -> Arc<CryptoProvider> {
    Arc::new(rustls::crypto::ring::default_provider())
}

/// Returns the name of a router as a server name, the form that certificates carry.
pub(crate) fn server_name(name: &Name) -> Result<ServerName<'static>, Report<Error>> {
    ServerName::try_from(name.as_str().to_owned())
        .change_context_lazy(|| Error::InvalidName(name.clone()))
}

/// Returns whether a certificate carries the name.
pub(crate) fn carries_name(certificate: &CertificateDer<'_>, name: &Name) -> bool {
    let Ok(parsed) = ParsedCertificate::try_from(certificate) else { return false };
    server_name(name).is_ok_and(|name| verify_server_name(&parsed, &name).is_ok())
}

fn certificates(
    text: &str,
    item: &'static str,
) -> Result<Vec<CertificateDer<'static>>, Report<Error>> {
    let found: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(text.as_bytes()).collect();
    let found = found.change_context(Error::NotPem(item))?;
    if found.is_empty() { Err(Report::new(Error::NotPem(item))) } else { Ok(found) }
}

fn check_key(
    chain: &[CertificateDer<'static>],
    key: PrivateKeyDer<'static>,
) -> Result<(), Report<Error>> {
    let key =
        provider().key_provider.load_private_key(key).change_context(Error::NotPem("the key"))?;
    CertifiedKey::new(chain.to_vec(), key).keys_match().change_context(Error::KeyMismatch)
}

fn check_server(
    chain: &[CertificateDer<'static>],
    roots: &Arc<RootCertStore>,
    name: &Name,
    now: UnixTime,
) -> Result<(), Report<Error>> {
    let verifier = WebPkiServerVerifier::builder_with_provider(Arc::clone(roots), provider())
        .build()
        .change_context(Error::Untrusted)?;
    let expected = server_name(name)?;
    verifier
        .verify_server_cert(&chain[0], &chain[1..], &expected, &[], now)
        .map(|_| ())
        .map_err(|error| verification_error(error, name))
}

fn check_client(
    chain: &[CertificateDer<'static>],
    roots: Arc<RootCertStore>,
    now: UnixTime,
) -> Result<(), Report<Error>> {
    let verifier = WebPkiClientVerifier::builder_with_provider(roots, provider())
        .build()
        .change_context(Error::Untrusted)?;
    verifier
        .verify_client_cert(&chain[0], &chain[1..], now)
        .map(|_| ())
        .change_context(Error::Unusable)
}

fn verification_error(error: rustls::Error, name: &Name) -> Report<Error> {
    let kind = match &error {
        rustls::Error::InvalidCertificate(certificate) => match certificate {
            CertificateError::Expired | CertificateError::ExpiredContext { .. } => Error::Expired,
            CertificateError::NotValidYet | CertificateError::NotValidYetContext { .. } => {
                Error::NotYetValid
            }
            CertificateError::NotValidForName | CertificateError::NotValidForNameContext { .. } => {
                Error::WrongName(name.clone())
            }
            CertificateError::UnknownIssuer | CertificateError::BadSignature => Error::Untrusted,
            _ => Error::Unusable,
        },
        _ => Error::Unusable,
    };
    Report::new(error).change_context(kind)
}
