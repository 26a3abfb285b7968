//! Errors of starting the mesh and of issuing identities.

use std::error;
use std::fmt;
use std::net::SocketAddr;

use base::Name;

/// An error in the settings of the mesh, in opening its endpoint or in issuing a certificate.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Error {
    /// A text is not valid PEM or contains no item of the expected kind.
    NotPem(&'static str),
    /// The private key does not belong to the certificate.
    KeyMismatch,
    /// The name is not valid in a certificate.
    InvalidName(Name),
    /// The certificate does not carry the name of the router.
    WrongName(Name),
    /// The certificate is not signed by a trusted authority.
    Untrusted,
    /// The certificate has expired.
    Expired,
    /// The certificate is not valid yet.
    NotYetValid,
    /// The certificate cannot be used for both ends of a link.
    Unusable,
    /// The endpoint could not be opened.
    Listen(SocketAddr),
    /// A certificate could not be issued.
    Issue,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotPem(item) => write!(f, "{item} is not valid PEM"),
            Self::KeyMismatch => f.write_str("the key does not match the certificate"),
            Self::InvalidName(name) => {
                write!(f, "\"{name}\" is not a valid name for a certificate")
            }
            Self::WrongName(name) => write!(f, "the certificate does not carry the name {name}"),
            Self::Untrusted => f.write_str("the certificate is not signed by a trusted authority"),
            Self::Expired => f.write_str("the certificate has expired"),
            Self::NotYetValid => f.write_str("the certificate is not valid yet"),
            Self::Unusable => f.write_str("the certificate cannot be used for links"),
            Self::Listen(address) => write!(f, "cannot listen on {address}"),
            Self::Issue => f.write_str("cannot issue a certificate"),
        }
    }
}

impl error::Error for Error {}
