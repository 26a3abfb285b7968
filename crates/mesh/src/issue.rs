//! Issuing of authorities and of the identities of routers.

use std::time::Duration;
use std::time::SystemTime;

use base::Name;
use error_stack::Report;
use error_stack::ResultExt;
use rcgen::BasicConstraints;
use rcgen::CertificateParams;
use rcgen::DistinguishedName;
use rcgen::DnType;
use rcgen::ExtendedKeyUsagePurpose;
use rcgen::IsCa;
use rcgen::Issuer;
use rcgen::KeyPair;
use rcgen::KeyUsagePurpose;

use crate::Error;
use crate::Identity;

/// Time for which an authority is valid.
const AUTHORITY_LIFETIME: Duration = Duration::from_secs(10 * 365 * 86_400);
/// Time for which the certificate of a router is valid.
const MEMBER_LIFETIME: Duration = Duration::from_secs(365 * 86_400);
/// Maximum time by which the clocks of other instances may be behind.
const CLOCK_SKEW: Duration = Duration::from_secs(3_600);

/// An authority that signs the certificates of routers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Authority {
    /// Its name, which distinguishes it from others during a rotation.
    pub name: String,
    /// Its certificate, which routers trust.
    pub certificate_pem: String,
    /// Its private key, which no router needs.
    pub key_pem: String,
}

/// Creates an authority.
///
/// # Errors
/// Returns [`Error::Issue`] when the certificate cannot be created.
pub fn authority(name: &str) -> Result<Authority, Report<Error>> {
    let key = KeyPair::generate().change_context(Error::Issue)?;
    let certificate = authority_params(name).self_signed(&key).change_context(Error::Issue)?;
    Ok(Authority {
        name: name.to_owned(),
        certificate_pem: certificate.pem(),
        key_pem: key.serialize_pem(),
    })
}

/// Creates the identity of a router, which trusts the authority that signs it.
///
/// # Errors
/// Returns [`Error::Issue`] when the certificate cannot be created, [`Error::InvalidName`] when it cannot carry the
/// name and [`Error::NotPem`] when the authority's key cannot be read.
pub fn member(authority: &Authority, name: &Name) -> Result<Identity, Report<Error>> {
    let signer = KeyPair::from_pem(&authority.key_pem)
        .change_context(Error::NotPem("the authority's key"))?;
    let issuer = Issuer::new(authority_params(&authority.name), signer);
    let key = KeyPair::generate().change_context(Error::Issue)?;
    let certificate = member_params(name)?.signed_by(&key, &issuer).change_context(Error::Issue)?;
    Ok(Identity {
        certificate_pem: certificate.pem(),
        key_pem: key.serialize_pem(),
        trust_pem: vec![authority.certificate_pem.clone()],
    })
}

fn authority_params(name: &str) -> CertificateParams {
    let mut params = CertificateParams::default();
    params.distinguished_name = common_name(name);
    params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
    params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
    set_lifetime(&mut params, AUTHORITY_LIFETIME);
    params
}

fn member_params(name: &Name) -> Result<CertificateParams, Report<Error>> {
    crate::identity::server_name(name)?;
    let mut params = CertificateParams::new(vec![name.to_string()])
        .change_context_lazy(|| Error::InvalidName(name.clone()))?;
    params.distinguished_name = common_name(name.as_str());
    params.use_authority_key_identifier_extension = true;
    params.key_usages = vec![KeyUsagePurpose::DigitalSignature];
    params.extended_key_usages =
        vec![ExtendedKeyUsagePurpose::ServerAuth, ExtendedKeyUsagePurpose::ClientAuth];
    set_lifetime(&mut params, MEMBER_LIFETIME);
    Ok(params)
}

fn common_name(name: &str) -> DistinguishedName {
    let mut distinguished = DistinguishedName::new();
    distinguished.push(DnType::CommonName, name);
    distinguished
}

fn set_lifetime(params: &mut CertificateParams, lifetime: Duration) {
    let now = SystemTime::now();
    params.not_before = (now - CLOCK_SKEW).into();
    params.not_after = (now + lifetime).into();
}
