//! Certificates for tests and the demo.

use cranberrypitch_core::ServiceName;
use rcgen::{BasicConstraints, CertificateParams, CertifiedIssuer, IsCa, KeyPair};

use crate::errors::{Error, Result};

/// A certificate authority.
#[derive(Debug)]
pub struct CertificateAuthority {
    issuer: CertifiedIssuer<'static, KeyPair>,
}

/// A certificate with its key.
#[derive(Clone, Debug)]
pub struct IssuedCertificate {
    certificate_pem: Box<str>,
    key_pem: Box<str>,
}

impl CertificateAuthority {
    /// Returns a new authority.
    pub fn try_new() -> Result<Self> {
        let mut params = CertificateParams::default();
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        let key = KeyPair::generate().map_err(Error::Certificate)?;
        let issuer = CertifiedIssuer::self_signed(params, key).map_err(Error::Certificate)?;
        Ok(Self { issuer })
    }

    /// Issues a certificate that has the service's name as its DNS name.
    pub fn issue(&self, service: &ServiceName) -> Result<IssuedCertificate> {
        let names = vec![service.to_string()];
        let params = CertificateParams::new(names).map_err(Error::Certificate)?;
        let key = KeyPair::generate().map_err(Error::Certificate)?;
        let certificate = params
            .signed_by(&key, &self.issuer)
            .map_err(Error::Certificate)?;
        Ok(IssuedCertificate {
            certificate_pem: certificate.pem().into(),
            key_pem: key.serialize_pem().into(),
        })
    }

    /// Returns the authority's own certificate.
    pub fn certificate_pem(&self) -> String {
        self.issuer.pem()
    }
}

impl IssuedCertificate {
    /// Returns the certificate.
    pub fn certificate_pem(&self) -> &str {
        &self.certificate_pem
    }

    /// Returns the key.
    pub fn key_pem(&self) -> &str {
        &self.key_pem
    }
}
