//! QUIC and TLS configurations of agents and callers.
//!
//! The `ring` provider is passed explicitly, because the default provider of a process depends on
//! which other crates are linked in. 0-RTT stays off, because its data can be replayed.

use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use cranberrypitch_proto::request::ALPN;
use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use quinn::{EndpointConfig, IdleTimeout, MtuDiscoveryConfig, TransportConfig};
use ring::hmac;
use rustls::RootCertStore;
use rustls::client::Resumption;
use rustls::crypto::CryptoProvider;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use rustls::version::TLS13;

use crate::errors::{Error, Result};

/// A packet counts as lost when one sent this many packets later is acknowledged. Packet spraying
/// reorders packets; `docs/transport.md` has the measurements behind both thresholds.
pub const PACKET_THRESHOLD: u32 = 64;

/// A packet counts as lost this many round-trip times after it was sent, if a later one is
/// acknowledged.
pub const TIME_THRESHOLD_RTTS: f32 = 3.0;

/// The largest QUIC packet before MTU discovery has found the path MTU.
pub const INITIAL_MTU_BYTES: u16 = 1200;

/// The largest QUIC packet; with the tunnel header it fits into a frame of 1,500 bytes.
pub const MAX_MTU_BYTES: u16 = 1350;

/// The transport options that both ends of a QUIC connection use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TransportOptions {
    /// The time without a packet from the peer after which a connection ends.
    pub idle_timeout: Duration,
    /// The time without a sent packet after which a keep-alive packet is sent.
    pub keep_alive_interval: Duration,
    /// A packet counts as lost when one sent this many packets later is acknowledged.
    pub packet_threshold: u32,
    /// A packet counts as lost this many round-trip times after it was sent, if a later one is
    /// acknowledged.
    pub time_threshold_rtts: f32,
}

impl Default for TransportOptions {
    fn default() -> Self {
        Self {
            idle_timeout: Duration::from_secs(30),
            keep_alive_interval: Duration::from_secs(5),
            packet_threshold: PACKET_THRESHOLD,
            time_threshold_rtts: TIME_THRESHOLD_RTTS,
        }
    }
}

/// Returns the QUIC transport configuration. Fails if QUIC can't carry the idle timeout.
pub fn transport_config(options: &TransportOptions) -> Result<TransportConfig> {
    let idle_timeout = IdleTimeout::try_from(options.idle_timeout).map_err(|e| Error::tls(&e))?;
    let mut discovery = MtuDiscoveryConfig::default();
    discovery.upper_bound(MAX_MTU_BYTES);
    let mut config = TransportConfig::default();
    config
        .packet_threshold(options.packet_threshold)
        .time_threshold(options.time_threshold_rtts)
        .initial_mtu(INITIAL_MTU_BYTES)
        .mtu_discovery_config(Some(discovery))
        .max_idle_timeout(Some(idle_timeout))
        .keep_alive_interval(Some(options.keep_alive_interval));
    Ok(config)
}

/// Returns the QUIC endpoint configuration, which derives stateless reset tokens from `reset_key`.
pub fn endpoint_config(reset_key: &hmac::Key) -> Result<EndpointConfig> {
    let mut config = EndpointConfig::new(Arc::new(reset_key.clone()));
    config
        .max_udp_payload_size(MAX_MTU_BYTES)
        .map_err(|e| Error::tls(&e))?;
    Ok(config)
}

/// The certificate chain of an agent with its private key.
#[derive(Debug)]
pub struct Certificate {
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
}

impl Certificate {
    /// Reads the certificate chain and the private key from PEM files.
    pub fn from_pem_files(certificate_file: &Path, key_file: &Path) -> Result<Self> {
        Ok(Self {
            chain: parse_certificates(certificate_file, &read(certificate_file)?)?,
            key: parse_key(key_file, &read(key_file)?)?,
        })
    }

    /// Reads the certificate chain and the private key from PEM texts.
    pub fn from_pem(certificate: &[u8], key: &[u8]) -> Result<Self> {
        Ok(Self {
            chain: parse_certificates(Path::new("certificate"), certificate)?,
            key: parse_key(Path::new("certificate key"), key)?,
        })
    }
}

/// The root certificates that a caller trusts.
#[derive(Clone, Debug)]
pub struct RootCertificates(Arc<RootCertStore>);

impl RootCertificates {
    /// Reads root certificates from a PEM file.
    pub fn from_pem_file(file: &Path) -> Result<Self> {
        Self::parse(file, &read(file)?)
    }

    /// Reads root certificates from a PEM text.
    pub fn from_pem(text: &[u8]) -> Result<Self> {
        Self::parse(Path::new("certificate authority"), text)
    }

    fn parse(file: &Path, text: &[u8]) -> Result<Self> {
        let mut store = RootCertStore::empty();
        for certificate in parse_certificates(file, text)? {
            let added = store.add(certificate);
            added.map_err(|e| Error::certificate(&file.display(), &e))?;
        }
        Ok(Self(Arc::new(store)))
    }
}

/// Returns the QUIC server configuration of an agent.
pub fn server_config(
    certificate: &Certificate,
    transport: TransportConfig,
) -> Result<quinn::ServerConfig> {
    let mut tls = rustls::ServerConfig::builder_with_provider(provider())
        .with_protocol_versions(&[&TLS13])
        .map_err(|e| Error::tls(&e))?
        .with_no_client_auth()
        .with_single_cert(certificate.chain.clone(), certificate.key.clone_key())
        .map_err(|e| Error::tls(&e))?;
    tls.alpn_protocols = vec![ALPN.to_vec()];
    tls.max_early_data_size = 0;
    // A caller's next connection usually reaches another agent, which could not read the ticket.
    tls.send_tls13_tickets = 0;
    let crypto = QuicServerConfig::try_from(tls).map_err(|e| Error::tls(&e))?;
    let mut config = quinn::ServerConfig::with_crypto(Arc::new(crypto));
    config.transport_config(Arc::new(transport));
    Ok(config)
}

/// Returns the QUIC client configuration of a caller.
pub fn client_config(
    root_certificates: &RootCertificates,
    transport: TransportConfig,
) -> Result<quinn::ClientConfig> {
    let mut tls = rustls::ClientConfig::builder_with_provider(provider())
        .with_protocol_versions(&[&TLS13])
        .map_err(|e| Error::tls(&e))?
        .with_root_certificates(Arc::clone(&root_certificates.0))
        .with_no_client_auth();
    tls.alpn_protocols = vec![ALPN.to_vec()];
    tls.enable_early_data = false;
    tls.resumption = Resumption::disabled();
    let crypto = QuicClientConfig::try_from(tls).map_err(|e| Error::tls(&e))?;
    let mut config = quinn::ClientConfig::new(Arc::new(crypto));
    config.transport_config(Arc::new(transport));
    Ok(config)
}

fn provider() -> Arc<CryptoProvider> {
    Arc::new(rustls::crypto::ring::default_provider())
}

fn read(file: &Path) -> Result<Vec<u8>> {
    std::fs::read(file).map_err(|e| Error::certificate(&file.display(), &e))
}

fn parse_certificates(file: &Path, text: &[u8]) -> Result<Vec<CertificateDer<'static>>> {
    let certificates: std::result::Result<Vec<_>, _> =
        CertificateDer::pem_slice_iter(text).collect();
    let certificates = certificates.map_err(|e| Error::certificate(&file.display(), &e))?;
    if certificates.is_empty() {
        return Err(Error::certificate(&file.display(), &"no certificate found"));
    }
    Ok(certificates)
}

fn parse_key(file: &Path, text: &[u8]) -> Result<PrivateKeyDer<'static>> {
    PrivateKeyDer::from_pem_slice(text).map_err(|e| Error::certificate(&file.display(), &e))
}
