//! Certificates for tests and the demo.
//!
//! Each [`CertificateAuthority`] has a new key. Its certificates are not for production.

use std::fmt;

use cranberrypitch_core::ServiceName;
use rcgen::string::Ia5String;
use rcgen::{
    BasicConstraints, Certificate, CertificateParams, DistinguishedName, DnType,
    ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair, KeyUsagePurpose, SanType,
};
use rustls::pki_types::{CertificateDer, PrivateKeyDer, PrivatePkcs8KeyDer};

use crate::errors::{Error, Result};

/// A certificate authority (CA) that issues the certificates of services.
pub struct CertificateAuthority {
    certificate: Certificate,
    issuer: Issuer<'static, KeyPair>,
}

impl CertificateAuthority {
    /// Generates an authority with a new key.
    pub fn try_new() -> Result<Self> {
        let key = KeyPair::generate().map_err(|e| Error::certificate(&e))?;
        let mut params = CertificateParams::default();
        params.distinguished_name = common_name("cranberrypitch stand-in CA");
        params.is_ca = IsCa::Ca(BasicConstraints::Constrained(0));
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
        let certificate = params
            .self_signed(&key)
            .map_err(|e| Error::certificate(&e))?;
        let issuer = Issuer::new(params, key);
        Ok(Self {
            certificate,
            issuer,
        })
    }

    /// Issues a certificate with a new key and the name of the service as its DNS name.
    pub fn issue(&self, service: &ServiceName) -> Result<ServiceCertificate> {
        let key = KeyPair::generate().map_err(|e| Error::certificate(&e))?;
        let name = Ia5String::try_from(service.as_str()).map_err(|e| Error::certificate(&e))?;
        let mut params = CertificateParams::default();
        params.distinguished_name = common_name(service.as_str());
        // Set explicitly, since rcgen would parse a name like `10.0.0.1` as an IP address.
        params.subject_alt_names = vec![SanType::DnsName(name)];
        params.key_usages = vec![KeyUsagePurpose::DigitalSignature];
        params.extended_key_usages = vec![ExtendedKeyUsagePurpose::ServerAuth];
        params.use_authority_key_identifier_extension = true;
        let certificate = params
            .signed_by(&key, &self.issuer)
            .map_err(|e| Error::certificate(&e))?;
        Ok(ServiceCertificate { certificate, key })
    }

    /// Returns the CA certificate, which callers trust, as PEM.
    pub fn pem(&self) -> String {
        self.certificate.pem()
    }

    /// Returns the CA certificate, which callers trust, as DER.
    pub fn der(&self) -> CertificateDer<'static> {
        self.certificate.der().clone()
    }
}

impl fmt::Debug for CertificateAuthority {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("CertificateAuthority")
            .finish_non_exhaustive()
    }
}

/// The certificate of a service and its private key.
pub struct ServiceCertificate {
    certificate: Certificate,
    key: KeyPair,
}

impl ServiceCertificate {
    /// Returns the certificate as PEM.
    pub fn pem(&self) -> String {
        self.certificate.pem()
    }

    /// Returns the private key as PEM (PKCS #8).
    pub fn key_pem(&self) -> String {
        self.key.serialize_pem()
    }

    /// Returns the certificate as DER.
    pub fn der(&self) -> CertificateDer<'static> {
        self.certificate.der().clone()
    }

    /// Returns the private key as DER (PKCS #8).
    pub fn key_der(&self) -> PrivateKeyDer<'static> {
        PrivatePkcs8KeyDer::from(self.key.serialize_der()).into()
    }
}

impl fmt::Debug for ServiceCertificate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("ServiceCertificate").finish_non_exhaustive()
    }
}

fn common_name(name: &str) -> DistinguishedName {
    let mut distinguished_name = DistinguishedName::new();
    distinguished_name.push(DnType::CommonName, name);
    distinguished_name
}
