//! QUIC transport (RFC 9000) with TLS 1.3 (RFC 9001); each end authenticates its site by certificate. Runs
//! on the thread of its driver and starts none.
//!
//! Invariant: no early data is sent (0-RTT can be replayed, RFC 9001 section 9.2), a certificate of another
//! site is not accepted for a peer's, and no more than a message's bound is buffered.

use crate::delay::DelayController;
use crate::settings::{Congestion, KeyFiles};
use crate::wire::{self, DecodeError, Message};
use async_executor::Executor;
use kelpcart::Time;
use quinn::congestion::{BbrConfig, Controller, ControllerFactory, CubicConfig};
use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use quinn::rustls::pki_types::pem::PemObject;
use quinn::rustls::pki_types::{CertificateDer, PrivateKeyDer, ServerName};
use quinn::rustls::server::WebPkiClientVerifier;
use quinn::rustls::{self, RootCertStore};
use quinn::{AckFrequencyConfig, AsyncTimer, AsyncUdpSocket, Runtime, SmolRuntime, TransportConfig, VarInt};
use quinn_proto::RttEstimator;
use std::any::Any;
use std::future::Future;
use std::net::{SocketAddr, UdpSocket};
use std::path::PathBuf;
use std::pin::Pin;
use std::sync::Arc;
use std::time::{Duration, Instant};

pub use quinn::{Connection, Incoming, RecvStream, SendStream};

/// Application protocol that both ends must name (RFC 7301).
const ALPN: &[u8] = b"kelpcart-sites";
/// A backstop: the core closes silent links long before.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum ACK delay requested of the peer (draft-ietf-quic-ack-frequency): it is part of every
/// retransmission time-out after a loss.
const MAX_ACK_DELAY: Duration = Duration::from_millis(5);
/// Concurrent streams.
const MAX_STREAMS: u32 = 4_096;
/// Flow control window of a stream, which bounds the data buffered for a slow reader.
const STREAM_WINDOW_BYTES: u32 = 512 * 1024;
/// Flow control window of a connection.
const CONNECTION_WINDOW_BYTES: u32 = 8 * 1024 * 1024;

#[derive(Debug, thiserror::Error)]
pub enum KeyError {
    #[error("{path}: {reason}")]
    File { path: PathBuf, reason: String },
    #[error("{path}: I/O error: {error}")]
    Read { path: PathBuf, error: std::io::Error },
    #[error("the certificate, its key and the roots do not match: {0}")]
    Mismatch(String),
}

#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    #[error("{0}")]
    Decode(#[from] DecodeError),
    #[error("the stream ended")]
    Closed,
}

/// TLS configuration of both roles.
#[derive(Clone)]
pub struct Keys {
    client: quinn::ClientConfig,
    server: quinn::ServerConfig,
}

impl Keys {
    pub fn read(files: &KeyFiles, congestion: Congestion) -> Result<Keys, KeyError> {
        let file = |path: &PathBuf, e: rustls::pki_types::pem::Error| match e {
            rustls::pki_types::pem::Error::Io(error) => KeyError::Read { path: path.clone(), error },
            e => KeyError::File { path: path.clone(), reason: e.to_string() },
        };
        let certificates = |path: &PathBuf| -> Result<Vec<CertificateDer<'static>>, KeyError> {
            let certs = CertificateDer::pem_file_iter(path).map_err(|e| file(path, e))?;
            let certs = certs.collect::<Result<Vec<_>, _>>().map_err(|e| file(path, e))?;
            if certs.is_empty() {
                return Err(KeyError::File {
                    path: path.clone(),
                    reason: "contains no certificate".to_owned(),
                });
            }
            Ok(certs)
        };
        let chain = certificates(&files.certificate)?;
        let key = PrivateKeyDer::from_pem_file(&files.key).map_err(|e| file(&files.key, e))?;
        let mut roots = RootCertStore::empty();
        for root in certificates(&files.roots)? {
            let invalid =
                |e: rustls::Error| KeyError::File { path: files.roots.clone(), reason: e.to_string() };
            roots.add(root).map_err(invalid)?;
        }
        let mismatch = |e: &dyn std::fmt::Display| KeyError::Mismatch(e.to_string());
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let roots = Arc::new(roots);
        let verifier = WebPkiClientVerifier::builder_with_provider(Arc::clone(&roots), Arc::clone(&provider));
        let verifier = verifier.build().map_err(|e| mismatch(&e))?;
        let mut server = rustls::ServerConfig::builder_with_provider(Arc::clone(&provider))
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(|e| mismatch(&e))?
            .with_client_cert_verifier(verifier)
            .with_single_cert(chain.clone(), key.clone_key())
            .map_err(|e| mismatch(&e))?;
        server.alpn_protocols = vec![ALPN.to_vec()];
        // No session tickets: a resumed session would skip the check of the certificate.
        server.send_tls13_tickets = 0;
        let mut client = rustls::ClientConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(|e| mismatch(&e))?
            .with_root_certificates(roots)
            .with_client_auth_cert(chain, key)
            .map_err(|e| mismatch(&e))?;
        client.alpn_protocols = vec![ALPN.to_vec()];
        client.enable_early_data = false;
        let transport = Arc::new(transport(congestion));
        let client = QuicClientConfig::try_from(client).map_err(|e| mismatch(&e))?;
        let mut client = quinn::ClientConfig::new(Arc::new(client));
        client.transport_config(Arc::clone(&transport));
        let server = QuicServerConfig::try_from(server).map_err(|e| mismatch(&e))?;
        let mut server = quinn::ServerConfig::with_crypto(Arc::new(server));
        server.transport_config(transport);
        Ok(Keys { client, server })
    }
}

fn transport(congestion: Congestion) -> TransportConfig {
    let mut config = TransportConfig::default();
    config.max_concurrent_bidi_streams(VarInt::from_u32(MAX_STREAMS));
    config.max_concurrent_uni_streams(VarInt::from_u32(0));
    config.stream_receive_window(VarInt::from_u32(STREAM_WINDOW_BYTES));
    config.receive_window(VarInt::from_u32(CONNECTION_WINDOW_BYTES));
    config.send_window(CONNECTION_WINDOW_BYTES.into());
    let mut acks = AckFrequencyConfig::default();
    acks.max_ack_delay(Some(MAX_ACK_DELAY));
    config.ack_frequency_config(Some(acks));
    config.datagram_receive_buffer_size(None);
    config.max_idle_timeout(quinn::IdleTimeout::try_from(IDLE_TIMEOUT).ok());
    match congestion {
        Congestion::Delay => config.congestion_controller_factory(Arc::new(DelayControllerFactory)),
        Congestion::Bbr => config.congestion_controller_factory(Arc::new(BbrConfig::default())),
        Congestion::Cubic => config.congestion_controller_factory(Arc::new(CubicConfig::default())),
    };
    config
}

/// Adapts [`DelayController`] to quinn; times are counted from the start of the connection.
#[derive(Clone)]
struct QuinnController {
    start: Instant,
    delay: DelayController,
    initial_window: u64,
}

struct DelayControllerFactory;

impl ControllerFactory for DelayControllerFactory {
    fn build(self: Arc<Self>, now: Instant, mtu: u16) -> Box<dyn Controller> {
        let delay = DelayController::new(Time::default(), mtu);
        Box::new(QuinnController { start: now, initial_window: delay.window() as u64, delay })
    }
}

impl QuinnController {
    fn time(&self, at: Instant) -> Time {
        Time::from_micros(at.saturating_duration_since(self.start).as_micros() as u64)
    }
}

impl Controller for QuinnController {
    fn on_ack(&mut self, now: Instant, sent: Instant, bytes: u64, limited: bool, _: &RttEstimator) {
        let (now, sent) = (self.time(now), self.time(sent));
        self.delay.on_ack(now, sent, bytes as f64, limited);
    }

    fn on_congestion_event(&mut self, _: Instant, _: Instant, persistent: bool, lost: u64) {
        self.delay.on_loss(lost as f64, persistent);
    }

    fn on_mtu_update(&mut self, mtu: u16) {
        self.delay.set_packet_size(mtu);
    }

    fn window(&self) -> u64 {
        self.delay.window() as u64
    }

    fn clone_box(&self) -> Box<dyn Controller> {
        Box::new(self.clone())
    }

    fn initial_window(&self) -> u64 {
        self.initial_window
    }

    fn into_any(self: Box<Self>) -> Box<dyn Any> {
        self
    }
}

/// Runs quinn's tasks on the endpoint's own executor; no thread is started.
struct LocalRuntime(Arc<Executor<'static>>);

impl std::fmt::Debug for LocalRuntime {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Local")
    }
}

impl Runtime for LocalRuntime {
    fn new_timer(&self, at: Instant) -> Pin<Box<dyn AsyncTimer>> {
        SmolRuntime.new_timer(at)
    }

    fn spawn(&self, task: Pin<Box<dyn Future<Output = ()> + Send>>) {
        self.0.spawn(task).detach();
    }

    fn wrap_udp_socket(&self, socket: UdpSocket) -> std::io::Result<Arc<dyn AsyncUdpSocket>> {
        SmolRuntime.wrap_udp_socket(socket)
    }
}

#[derive(Clone)]
pub struct Endpoint {
    inner: quinn::Endpoint,
    executor: Arc<Executor<'static>>,
}

impl Endpoint {
    /// Listens on the address; without one, the endpoint only connects.
    pub fn start(listen: Option<SocketAddr>, keys: &Keys) -> std::io::Result<Endpoint> {
        let executor = Arc::new(Executor::new());
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let socket = UdpSocket::bind(listen.unwrap_or(any))?;
        let server = listen.map(|_| keys.server.clone());
        let runtime = Arc::new(LocalRuntime(Arc::clone(&executor)));
        let inner = quinn::Endpoint::new(quinn::EndpointConfig::default(), server, socket, runtime)?;
        Ok(Endpoint { inner, executor })
    }

    /// Runs the endpoint's I/O; never returns.
    pub async fn drive(&self) {
        self.executor.run(std::future::pending::<()>()).await;
    }

    pub fn address(&self) -> std::io::Result<SocketAddr> {
        self.inner.local_addr()
    }

    /// Used by new connections; established ones keep their keys.
    pub fn set_keys(&self, keys: &Keys, listens: bool) {
        self.inner.set_server_config(listens.then(|| keys.server.clone()));
    }

    /// Connects to a gateway whose certificate must hold the site's name.
    pub async fn dial(&self, keys: &Keys, address: SocketAddr, site: &str) -> Result<Connection, String> {
        let connecting = self.inner.connect_with(keys.client.clone(), address, site);
        connecting.map_err(|e| e.to_string())?.await.map_err(|e| e.to_string())
    }

    pub async fn accept(&self) -> Option<Incoming> {
        self.inner.accept().await
    }
}

pub fn close(connection: &Connection, reason: &str) {
    connection.close(VarInt::from_u32(0), reason.as_bytes());
}

/// Whether the peer's certificate holds the site's name among its subject names (RFC 9525).
pub fn certifies_site(connection: &Connection, site: &str) -> bool {
    let identity = connection.peer_identity();
    let chain = identity.and_then(|i| i.downcast::<Vec<CertificateDer<'static>>>().ok());
    let Some(first) = chain.and_then(|chain| chain.into_iter().next()) else { return false };
    let Ok(certificate) = webpki::EndEntityCert::try_from(&first) else { return false };
    let Ok(name) = ServerName::try_from(site) else { return false };
    certificate.verify_is_valid_for_subject_name(&name).is_ok()
}

/// Reads the next message of a stream.
pub async fn read(stream: &mut RecvStream) -> Result<Message, ReadError> {
    let mut length = [0; 4];
    stream.read_exact(&mut length).await.map_err(|_| ReadError::Closed)?;
    let mut bytes = vec![0; wire::decode_length(length)?];
    stream.read_exact(&mut bytes).await.map_err(|_| ReadError::Closed)?;
    Ok(wire::decode_message(&bytes)?)
}

pub async fn write(stream: &mut SendStream, bytes: &[u8]) -> Result<(), ReadError> {
    stream.write_all(bytes).await.map_err(|_| ReadError::Closed)
}

/// Resets a stream: data that was not read yet is discarded.
pub fn reset(stream: &mut SendStream) {
    // Fails only on a stream that has already ended.
    _ = stream.reset(VarInt::from_u32(1));
}
