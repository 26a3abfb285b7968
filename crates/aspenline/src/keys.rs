//! Peer keys of settings, given as PEM text or as paths.

use std::path::Path;

use conf::Settings;
use mesh::Identity;

use crate::failure::Failure;
use crate::input;

/// The prefix of PEM text.
const PEM_PREFIX: &str = "-----BEGIN";

/// Replaces the paths of peer keys by the contents of the files, and checks that the keys are usable.
pub(crate) fn load(settings: &mut Settings, directory: &Path) -> Result<(), Failure> {
    let keys = &mut settings.peer_keys;
    keys.certificate = pem("certificate", &keys.certificate, directory)?;
    keys.key = pem("key", &keys.key, directory)?;
    for trusted in &mut keys.trust {
        *trusted = pem("trust", trusted, directory)?;
    }
    let identity = Identity {
        certificate_pem: keys.certificate.clone(),
        key_pem: keys.key.clone(),
        trust_pem: keys.trust.clone(),
    };
    identity
        .check(&settings.name)
        .map_err(|report| Failure::Invalid(format!("peer_keys: {}", report.current_context())))
}

fn pem(field: &str, value: &str, directory: &Path) -> Result<String, Failure> {
    if value.starts_with(PEM_PREFIX) {
        return Ok(value.to_owned());
    }
    input::read_file(&directory.join(value))
        .map_err(|failure| Failure::Invalid(format!("peer_keys.{field}: {failure}")))
}
