//! Errors of identities: each fault of certificates and keys has its own error.

use base::Name;
use mesh::Error;
use mesh::Identity;
use mesh::issue;
use rcgen::CertificateParams;
use rcgen::DnType;
use rcgen::Issuer;
use rcgen::KeyPair;
use rcgen::date_time_ymd;

fn router() -> Name {
    Name::new("r1")
}

fn new_identity() -> Identity {
    let fleet = issue::authority("fleet").expect("an authority");
    issue::member(&fleet, &router()).expect("an identity")
}

fn check_error(identity: &Identity) -> Option<Error> {
    identity.check(&router()).err().map(|report| report.current_context().clone())
}

/// Returns an identity that is valid from the start of one year to the start of another.
fn identity_for_years(from: i32, to: i32) -> Identity {
    let fleet = issue::authority("fleet").expect("an authority");
    let signer = KeyPair::from_pem(&fleet.key_pem).expect("a key");
    let mut name = CertificateParams::default();
    name.distinguished_name.remove(DnType::CommonName);
    name.distinguished_name.push(DnType::CommonName, "fleet");
    let issuer = Issuer::new(name, signer);
    let key = KeyPair::generate().expect("a key");
    let mut params = CertificateParams::new(vec!["r1".to_owned()]).expect("parameters");
    params.not_before = date_time_ymd(from, 1, 1);
    params.not_after = date_time_ymd(to, 1, 1);
    let certificate = params.signed_by(&key, &issuer).expect("a certificate");
    Identity {
        certificate_pem: certificate.pem(),
        key_pem: key.serialize_pem(),
        trust_pem: vec![fleet.certificate_pem],
    }
}

#[test]
fn an_issued_identity_is_usable_by_its_router_only() {
    let identity = new_identity();
    assert_eq!(check_error(&identity), None);
    let other = Name::new("r2");
    let report = identity.check(&other).expect_err("the name differs");
    assert_eq!(*report.current_context(), Error::WrongName(other));
}

#[test]
fn the_error_names_the_text_that_is_not_pem() {
    let text = "not a certificate".to_owned();
    let certificate = Identity { certificate_pem: text.clone(), ..new_identity() };
    let key = Identity { key_pem: text.clone(), ..new_identity() };
    let trust = Identity { trust_pem: vec![text], ..new_identity() };
    let none = Identity { trust_pem: Vec::new(), ..new_identity() };
    let errors = [certificate, key, trust, none].map(|identity| check_error(&identity));
    let expected =
        ["the certificate", "the key", "a trusted authority", "the list of trusted authorities"];
    assert_eq!(errors, expected.map(|item| Some(Error::NotPem(item))));
}

#[test]
fn a_key_of_another_certificate_is_rejected() {
    let identity = Identity { key_pem: new_identity().key_pem, ..new_identity() };
    assert_eq!(check_error(&identity), Some(Error::KeyMismatch));
}

#[test]
fn a_certificate_of_an_unknown_authority_is_rejected() {
    let other = issue::authority("other").expect("an authority");
    let identity = Identity { trust_pem: vec![other.certificate_pem], ..new_identity() };
    assert_eq!(check_error(&identity), Some(Error::Untrusted));
}

#[test]
fn a_certificate_of_another_authority_with_the_same_name_is_rejected() {
    let other = issue::authority("fleet").expect("an authority");
    let identity = Identity { trust_pem: vec![other.certificate_pem], ..new_identity() };
    assert_eq!(check_error(&identity), Some(Error::Untrusted));
}

#[test]
fn a_certificate_outside_its_validity_period_is_rejected() {
    assert_eq!(check_error(&identity_for_years(2001, 4000)), None);
    assert_eq!(check_error(&identity_for_years(2001, 2002)), Some(Error::Expired));
    assert_eq!(check_error(&identity_for_years(3999, 4000)), Some(Error::NotYetValid));
}

#[test]
fn a_name_that_is_invalid_in_certificates_is_rejected() {
    let fleet = issue::authority("fleet").expect("an authority");
    let name = Name::new("router 1");
    let report = issue::member(&fleet, &name).expect_err("the name contains a space");
    assert_eq!(*report.current_context(), Error::InvalidName(name));
}
