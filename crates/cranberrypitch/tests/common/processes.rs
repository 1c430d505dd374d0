//! Balancers and agents as separate processes, with stand-ins inside the test process.

use std::fs::File;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::Arc;
use std::time::Duration;

use cranberrypitch_caller::{Caller, ServiceEndpoint};
use cranberrypitch_core::config::ConfigText;
use cranberrypitch_core::{EditId, Revision, SystemClock};
use cranberrypitch_net::config_editor::{ApplyOutcome, ConfigEditor, ConfigEditorOptions};
use cranberrypitch_net::store::{HttpStore, HttpStoreOptions, MemoryStore};
use cranberrypitch_net::tls::{self, RootCertificates, TransportOptions};
use cranberrypitch_standins::backend::{
    BackendHandle, BackendOptions, BackendStandin, ServiceTime,
};
use cranberrypitch_standins::certs::CertificateAuthority;
use cranberrypitch_standins::deployment::Subnet;
use cranberrypitch_standins::fabric::{Fabric, FabricHandle, FabricOptions};
use cranberrypitch_standins::store::StoreServer;
use serde_json::json;
use tokio::time::{sleep, timeout};

use super::{VALVES, service};

const SERVICE_PORT: u16 = 7101;
const CONTROL_PORT: u16 = 20_100;
const TUNNEL_PORT: u16 = 20_000;
const AGENT_PORT: u16 = 20_001;
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// A daemon process, which is killed on drop.
pub struct Daemon {
    pub ip: Ipv4Addr,
    pub tunnel_address: SocketAddrV4,
    child: Child,
    log: PathBuf,
}

impl Daemon {
    fn spawn(program: &str, tunnel_address: SocketAddrV4, settings: &Path) -> Self {
        let log = settings.with_extension("log");
        let lines = File::options().create(true).append(true).open(&log);
        let child = Command::new(program)
            .arg("--settings")
            .arg(settings)
            .stdin(Stdio::null())
            .stderr(lines.unwrap())
            .spawn()
            .unwrap();
        Self {
            ip: *tunnel_address.ip(),
            tunnel_address,
            child,
            log,
        }
    }

    /// Returns the log lines written so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap()
    }

    /// Waits for a log line that contains this text.
    pub async fn logged(&self, part: &str) {
        const POLL: Duration = Duration::from_millis(20);
        let found = timeout(READY_TIMEOUT, async {
            while !self.log().contains(part) {
                sleep(POLL).await;
            }
        });
        assert!(found.await.is_ok(), "no line with {part} in {}", self.log());
    }

    pub fn control_address(&self) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip, CONTROL_PORT)
    }

    /// Sends a signal by its name without `SIG`.
    pub fn signal(&self, name: &str) {
        let sent = Command::new("kill")
            .arg(format!("-{name}"))
            .arg(self.child.id().to_string())
            .status()
            .unwrap();
        assert!(sent.success());
    }

    /// Waits up to 20 s for the process to exit.
    pub async fn wait(&mut self) -> ExitStatus {
        const POLL: Duration = Duration::from_millis(20);
        timeout(READY_TIMEOUT, async {
            loop {
                if let Some(status) = self.child.try_wait().unwrap() {
                    return status;
                }
                sleep(POLL).await;
            }
        })
        .await
        .expect("the daemon must exit in time")
    }

    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().unwrap().is_some()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        if std::thread::panicking()
            && let Ok(log) = std::fs::read_to_string(&self.log)
        {
            eprintln!("log of {}:\n{log}", self.ip);
        }
        let _ended = self.child.kill();
        let _reaped = self.child.wait();
    }
}

/// A small deployment with one service, `matcher`.
pub struct Processes {
    directory: PathBuf,
    subnet: Subnet,
    authority: CertificateAuthority,
    pub store: StoreServer,
    pub fabric: FabricHandle,
    pub balancers: Vec<Daemon>,
    pub agents: Vec<Daemon>,
    pub backends: Vec<BackendHandle>,
    public: SocketAddrV4,
    /// The address to which daemons send their metrics if they are started after it is set.
    pub metrics: Option<SocketAddrV4>,
}

impl Processes {
    /// Starts balancers and agents, and applies the first configuration.
    pub async fn start(balancers: usize, agents: usize) -> Self {
        let mut processes = Self::prepare().await;
        let applied = processes
            .apply(&processes.text(4), Revision::default())
            .await;
        assert!(
            matches!(applied, ApplyOutcome::Accepted { .. }),
            "{applied}"
        );
        for _ in 0..balancers {
            processes.add_balancer(&[]);
        }
        for _ in 0..agents {
            processes.add_agent(&[]).await;
        }
        processes.wait_until_serving().await;
        processes
    }

    /// Starts only the stand-ins.
    pub async fn prepare() -> Self {
        let mut subnet = Subnet::claim();
        let directory = std::env::temp_dir().join(format!(
            "cranberrypitch-{}-{}",
            std::process::id(),
            subnet.next_ip()
        ));
        std::fs::create_dir_all(&directory).unwrap();
        let authority = CertificateAuthority::try_new().unwrap();
        let certificate = authority.issue(&service("matcher")).unwrap();
        std::fs::write(directory.join("matcher.pem"), certificate.pem()).unwrap();
        std::fs::write(directory.join("matcher.key"), certificate.key_pem()).unwrap();
        let public = SocketAddrV4::new(subnet.next_ip(), SERVICE_PORT);
        let store_address = SocketAddrV4::new(subnet.next_ip(), 20_200);
        let store = MemoryStore::new(Arc::new(SystemClock), Duration::from_millis(500));
        let processes = Self {
            store: StoreServer::bind(store_address, store).await.unwrap(),
            fabric: Fabric::spawn(FabricOptions::new(1).service(public, SERVICE_PORT))
                .await
                .unwrap(),
            directory,
            subnet,
            authority,
            balancers: Vec::new(),
            agents: Vec::new(),
            backends: Vec::new(),
            public,
            metrics: None,
        };
        processes.write_keys(&[(1, 1)], 1);
        processes
    }

    /// Writes the key file from pairs of generation and secret byte, and the current generation.
    pub fn write_keys(&self, keys: &[(u8, u8)], current: u8) {
        let keys: Vec<_> = keys
            .iter()
            .map(|(generation, secret)| {
                json!({"generation": generation, "secret_hex": format!("{secret:02x}").repeat(32)})
            })
            .collect();
        let text = json!({"current": current, "keys": keys}).to_string();
        std::fs::write(self.directory.join("keys.json"), text).unwrap();
    }

    /// Returns a configuration text with only the service `matcher` at its public address.
    pub fn text(&self, slots: u32) -> ConfigText {
        let mut text: serde_json::Value = serde_json::from_str(VALVES).unwrap();
        text["services"].as_array_mut().unwrap().truncate(1);
        text["services"][0]["addresses"] = json!([self.public.to_string()]);
        text["services"][0]["slots"] = json!(slots);
        ConfigText::parse(&text.to_string()).unwrap()
    }

    pub async fn apply(&self, text: &ConfigText, edited_revision: Revision) -> ApplyOutcome {
        let store = HttpStore::new(HttpStoreOptions::new(self.store.address()));
        let editor = ConfigEditor::new(store, ConfigEditorOptions::default());
        let edit_id = EditId::new(u128::from(edited_revision.get()) + 1);
        editor.apply(text, edited_revision, edit_id).await
    }

    /// Starts a balancer with the control addresses of these seed balancers.
    pub fn add_balancer(&mut self, seeds: &[SocketAddrV4]) {
        let ip = self.subnet.next_ip();
        self.start_balancer(ip, seeds);
        let live: Vec<_> = self.balancers.iter().map(|b| b.ip).collect();
        self.fabric.set_balancers(&live);
    }

    pub fn start_balancer(&mut self, ip: Ipv4Addr, seeds: &[SocketAddrV4]) {
        let tunnel = SocketAddrV4::new(ip, TUNNEL_PORT);
        let settings = json!({
            "vm": format!("balancer-{ip}"),
            "failure_domain": "rs-norte",
            "region": "riogrande",
            "control_address": SocketAddrV4::new(ip, CONTROL_PORT),
            "tunnel_address": tunnel,
            "service_ip": ip,
            "store_address": self.store.address(),
            "seed_balancers": seeds,
            "key_file": self.directory.join("keys.json"),
            "linger_ms": 300,
            "lease_ms": 2000,
            "lease_renewal_ms": 300,
            "log": "info",
        });
        let file = self.write_settings(ip, settings);
        let daemon = Daemon::spawn(env!("CARGO_BIN_EXE_balancer"), tunnel, &file);
        self.balancers.push(daemon);
    }

    /// Starts a backend server and its agent.
    pub async fn add_agent(&mut self, seeds: &[SocketAddrV4]) {
        let options = BackendOptions::new(self.backends.len() as u64)
            .service_time(ServiceTime::Fixed(Duration::from_millis(20)))
            .reading_interval(Duration::from_millis(50));
        let backend = BackendStandin::spawn(options).await.unwrap();
        let ip = self.subnet.next_ip();
        self.start_agent(ip, &backend, seeds);
        self.backends.push(backend);
    }

    fn start_agent(&mut self, ip: Ipv4Addr, backend: &BackendHandle, seeds: &[SocketAddrV4]) {
        let tunnel = SocketAddrV4::new(ip, AGENT_PORT);
        let settings = json!({
            "vm": format!("target-{ip}"),
            "failure_domain": "rs-sul",
            "region": "riogrande",
            "service": "matcher",
            "tunnel_address": tunnel,
            "store_address": self.store.address(),
            "seed_balancers": seeds,
            "backend_address": backend.address(),
            "key_file": self.directory.join("keys.json"),
            "certificate_file": self.directory.join("matcher.pem"),
            "certificate_key_file": self.directory.join("matcher.key"),
            "log": "info",
        });
        let file = self.write_settings(ip, settings);
        let daemon = Daemon::spawn(env!("CARGO_BIN_EXE_agent"), tunnel, &file);
        self.agents.push(daemon);
    }

    fn write_settings(&self, ip: Ipv4Addr, mut settings: serde_json::Value) -> PathBuf {
        if let Some(address) = self.metrics {
            settings["metrics_address"] = json!(address);
        }
        let file = self.directory.join(format!("{ip}.json"));
        std::fs::write(&file, settings.to_string()).unwrap();
        file
    }

    pub fn caller(&self) -> Caller {
        let authorities = RootCertificates::from_pem(self.authority.pem().as_bytes()).unwrap();
        let transport = tls::transport_config(&TransportOptions::default()).unwrap();
        let config = tls::client_config(&authorities, transport).unwrap();
        Caller::try_new(Ipv4Addr::LOCALHOST, config, Duration::from_secs(2)).unwrap()
    }

    pub fn endpoint(&self) -> ServiceEndpoint {
        ServiceEndpoint {
            service: service("matcher"),
            address: self.public,
        }
    }

    /// Waits until new connections have reached every agent.
    pub async fn wait_until_serving(&self) {
        let caller = self.caller();
        let endpoint = self.endpoint();
        let serving = async {
            let mut agents = std::collections::BTreeSet::new();
            while agents.len() < self.agents.len() {
                if let Ok(connection) = caller.connect(&endpoint, None).await {
                    if let Ok(issued) = connection.request_ticket().await {
                        agents.insert(issued.ticket.agent);
                    }
                    connection.close();
                }
            }
        };
        timeout(READY_TIMEOUT, serving)
            .await
            .expect("all agents must serve in time");
    }
}

impl Drop for Processes {
    fn drop(&mut self) {
        let _removed = std::fs::remove_dir_all(&self.directory);
    }
}
