//! Faults of keys in the settings, each with its own error.

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

fn fresh() -> Identity {
    let fleet = issue::authority("fleet").expect("an authority");
    issue::member(&fleet, &router()).expect("an identity")
}

fn fault(identity: &Identity) -> Option<Error> {
    identity.check(&router()).err().map(|report| report.current_context().clone())
}

/// Returns an identity that is valid from the first to the second year.
fn dated(from: i32, to: i32) -> Identity {
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
    let identity = fresh();
    assert_eq!(fault(&identity), None);
    let other = Name::new("r2");
    let report = identity.check(&other).expect_err("another name");
    assert_eq!(*report.current_context(), Error::WrongName(other));
}

#[test]
fn text_that_is_not_pem_is_told_apart() {
    let text = "not a certificate".to_owned();
    let certificate = Identity { certificate_pem: text.clone(), ..fresh() };
    let key = Identity { key_pem: text.clone(), ..fresh() };
    let trust = Identity { trust_pem: vec![text], ..fresh() };
    let none = Identity { trust_pem: Vec::new(), ..fresh() };
    let faults = [certificate, key, trust, none].map(|identity| fault(&identity));
    let expected =
        ["the certificate", "the key", "a trusted authority", "the list of trusted authorities"];
    assert_eq!(faults, expected.map(|what| Some(Error::NotPem(what))));
}

#[test]
fn a_key_of_another_certificate_is_refused() {
    let identity = Identity { key_pem: fresh().key_pem, ..fresh() };
    assert_eq!(fault(&identity), Some(Error::KeyMismatch));
}

#[test]
fn a_certificate_of_an_unknown_authority_is_refused() {
    let other = issue::authority("other").expect("an authority");
    let identity = Identity { trust_pem: vec![other.certificate_pem], ..fresh() };
    assert_eq!(fault(&identity), Some(Error::Untrusted));
}

#[test]
fn a_certificate_of_another_authority_with_the_same_name_is_refused() {
    let other = issue::authority("fleet").expect("an authority");
    let identity = Identity { trust_pem: vec![other.certificate_pem], ..fresh() };
    assert_eq!(fault(&identity), Some(Error::Untrusted));
}

#[test]
fn a_certificate_out_of_its_time_is_refused() {
    assert_eq!(fault(&dated(2001, 4000)), None);
    assert_eq!(fault(&dated(2001, 2002)), Some(Error::Expired));
    assert_eq!(fault(&dated(3999, 4000)), Some(Error::NotYetValid));
}

#[test]
fn a_name_that_no_certificate_can_carry_is_refused() {
    let fleet = issue::authority("fleet").expect("an authority");
    let name = Name::new("router 1");
    let report = issue::member(&fleet, &name).expect_err("a blank in a name");
    assert_eq!(*report.current_context(), Error::InvalidName(name));
}
