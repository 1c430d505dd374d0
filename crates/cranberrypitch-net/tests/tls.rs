//! QUIC and TLS configurations, over loopback.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use cranberrypitch_core::KeyGeneration;
use cranberrypitch_net::tls::{self, Certificate, RootCertificates, TransportOptions};
use cranberrypitch_net::{Error, KeyRing};
use rcgen::{BasicConstraints, CertificateParams, CertifiedIssuer, IsCa, KeyPair};

const LOOPBACK: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

struct TestCertificates {
    authority: String,
    certificate: String,
    key: String,
}

fn certificates(service: &str) -> TestCertificates {
    let mut authority = CertificateParams::new(Vec::new()).expect("valid parameters");
    authority.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    let authority_key = KeyPair::generate().expect("a key pair");
    let issuer = CertifiedIssuer::self_signed(authority, authority_key).expect("self-signed");
    let key = KeyPair::generate().expect("a key pair");
    let leaf = CertificateParams::new(vec![service.to_owned()]).expect("valid parameters");
    let leaf = leaf.signed_by(&key, &issuer).expect("signed");
    TestCertificates {
        authority: issuer.pem(),
        certificate: leaf.pem(),
        key: key.serialize_pem(),
    }
}

fn server(certificates: &TestCertificates) -> quinn::Endpoint {
    let certificate = Certificate::from_pem(
        certificates.certificate.as_bytes(),
        certificates.key.as_bytes(),
    );
    let transport = tls::transport_config(&TransportOptions::default()).expect("valid options");
    let config = tls::server_config(&certificate.expect("valid PEM"), transport);
    let keys = KeyRing::from_secret(KeyGeneration::new(1), &[1; 32]).keys();
    let socket = std::net::UdpSocket::bind(LOOPBACK).expect("a free port");
    quinn::Endpoint::new(
        tls::endpoint_config(keys.stateless_reset_key()).expect("valid options"),
        Some(config.expect("valid certificate")),
        socket,
        quinn::default_runtime().expect("inside a runtime"),
    )
    .expect("an endpoint")
}

fn client(authority_pem: &str) -> quinn::Endpoint {
    let root_certificates =
        RootCertificates::from_pem(authority_pem.as_bytes()).expect("valid PEM");
    let transport = tls::transport_config(&TransportOptions::default()).expect("valid options");
    let config = tls::client_config(&root_certificates, transport).expect("valid options");
    let mut endpoint = quinn::Endpoint::client(LOOPBACK).expect("a free port");
    endpoint.set_default_client_config(config);
    endpoint
}

async fn connect(authority_pem: &str, server: &quinn::Endpoint, name: &str) -> bool {
    let address = server.local_addr().expect("bound");
    let client = client(authority_pem);
    let accept = async { server.accept().await.expect("open").await.is_ok() };
    let connect = client.connect(address, name).expect("valid name");
    let both = async { tokio::join!(accept, connect) };
    let both = tokio::time::timeout(Duration::from_secs(10), both).await;
    both.expect("the handshake ends in time").1.is_ok()
}

/// Guards against callers that accept a certificate for another service or of another authority.
#[tokio::test]
async fn callers_verify_service_and_authority() {
    let valid = certificates("matcher");
    let other = certificates("matcher");
    let server = server(&valid);
    let cases = [
        (&valid.authority, "matcher", true),
        (&valid.authority, "tracer", false),
        (&other.authority, "matcher", false),
    ];
    for (authority, name, expected) in cases {
        assert_eq!(connect(authority, &server, name).await, expected, "{name}");
    }
}

/// Guards against 0-RTT, whose data can be replayed, when a caller reconnects.
#[tokio::test]
async fn early_data_is_not_offered() {
    let certificates = certificates("matcher");
    let server = server(&certificates);
    let address = server.local_addr().expect("bound");
    let client = client(&certificates.authority);
    for _ in 0..2 {
        let connecting = client.connect(address, "matcher").expect("valid name");
        let Err(connecting) = connecting.into_0rtt() else {
            panic!("0-RTT is off");
        };
        let accept = async { server.accept().await.expect("open").await };
        let (accepted, connected) = tokio::join!(accept, connecting);
        accepted.expect("the handshake ends");
        connected.expect("the handshake ends");
    }
}

/// Guards against PEM texts without a certificate or key, missing files and mismatched keys that are
/// accepted.
#[test]
fn unusable_certificates_are_refused() {
    let valid = certificates("matcher");
    let (certificate, key) = (valid.certificate.as_bytes(), valid.key.as_bytes());
    let other = certificates("matcher");
    assert!(matches!(
        RootCertificates::from_pem(b""),
        Err(Error::Certificate { .. })
    ));
    assert!(matches!(
        Certificate::from_pem(b"", key),
        Err(Error::Certificate { .. })
    ));
    assert!(matches!(
        Certificate::from_pem(certificate, b""),
        Err(Error::Certificate { .. })
    ));
    let missing = std::path::Path::new("/nonexistent/agent.pem");
    let error = Certificate::from_pem_files(missing, missing).expect_err("no such file");
    assert!(
        error.to_string().starts_with("/nonexistent/agent.pem: "),
        "{error}"
    );
    let mixed = Certificate::from_pem(certificate, other.key.as_bytes()).expect("valid PEM");
    let transport = tls::transport_config(&TransportOptions::default()).expect("valid options");
    let error = tls::server_config(&mixed, transport).expect_err("the key is of another one");
    assert!(matches!(error, Error::Tls { .. }), "{error}");
}

/// Guards against an idle timeout that QUIC can't encode and that would be truncated silently.
#[test]
fn an_idle_timeout_beyond_the_protocol_is_refused() {
    let options = TransportOptions {
        idle_timeout: Duration::from_secs(u64::MAX / 1000),
        ..TransportOptions::default()
    };
    assert!(matches!(
        tls::transport_config(&options),
        Err(Error::Tls { .. })
    ));
}

/// Guards against the default thresholds of loss detection, which report false losses when packets are
/// sprayed.
#[test]
fn both_ends_use_the_thresholds_of_the_design() {
    let transport = tls::transport_config(&TransportOptions::default()).expect("valid options");
    let text = format!("{transport:?}");
    let expected = [
        "packet_threshold: 64",
        "time_threshold: 3.0",
        "initial_mtu: 1200",
    ];
    for expected in expected.into_iter().chain(["upper_bound: 1350"]) {
        assert!(text.contains(expected), "{expected} not in {text}");
    }
}
