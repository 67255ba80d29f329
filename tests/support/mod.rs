//! Helpers of the end-to-end tests: processes on loopback, ended by their process ids, and calls.
#![allow(dead_code, missing_docs)]

pub mod fake_home;
pub mod full_pipe;

use bridgevane_adapters::HttpClient;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use serde_json::Value;
use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// The time within which a signalled process must be stopped.
const STOP_TIMEOUT: Duration = Duration::from_secs(5);

pub const BINARY: &str = env!("CARGO_BIN_EXE_bridgevane");
pub const CUSTOMER_KEY: &str = "key-of-grand-bay";
/// The key that all daemons share.
pub const PEER_KEY: &str = "a-key-for-tests-only";
pub const OPERATOR: &str = "nadia:operator-token-1";

/// A daemon or stand-in; its process is killed when this is dropped.
pub struct Process {
    child: Child,
    pub address: SocketAddr,
    pub operators: SocketAddr,
    pub peers: SocketAddr,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Process {
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn kill(&mut self) {
        self.child.kill().expect("the process can be killed");
        self.child.wait().expect("the process ends");
    }

    /// Sends a signal to the process by its id.
    pub fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .args([format!("-{name}"), self.id().to_string()])
            .status()
            .expect("kill runs");
        assert!(status.success());
        if name == "STOP" {
            self.wait_until_stopped();
        }
    }

    /// Waits until the process is stopped. The signal is only queued: until the system runs the thread
    /// that takes it, the others go on, for some milliseconds where the processors are busy.
    fn wait_until_stopped(&self) {
        let deadline = Instant::now() + STOP_TIMEOUT;
        while !self.is_stopped() {
            assert!(Instant::now() < deadline, "the process stops");
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    /// Returns whether all threads of the process are stopped.
    fn is_stopped(&self) -> bool {
        let threads = std::fs::read_dir(format!("/proc/{}/task", self.id())).expect("its threads");
        threads.flatten().all(|thread| {
            let status = std::fs::read_to_string(thread.path().join("status"));
            // A thread that has just ended has no status any more.
            status.map_or(true, |status| status.contains("State:\tT"))
        })
    }

    /// Returns the exit status, or `None` while the process runs.
    pub fn exit_status(&mut self) -> Option<std::process::ExitStatus> {
        self.child.try_wait().expect("its state can be asked for")
    }

    pub fn wait(&mut self) -> std::process::ExitStatus {
        self.child.wait().expect("the process ends")
    }
}

/// Starts a stand-in and reads its address from its first line of output.
pub fn start_standin(arguments: &[&str]) -> Process {
    let mut child = Command::new(BINARY)
        .arg("standin")
        .args(arguments)
        .args(["--address", "127.0.0.1:0"])
        .stdout(Stdio::piped())
        .spawn()
        .expect("the stand-in starts");
    let stdout = child.stdout.take().expect("standard output is piped");
    let mut line = String::new();
    BufReader::new(stdout)
        .read_line(&mut line)
        .expect("a first line");
    let address = line.trim().parse().expect("an address");
    Process {
        child,
        address,
        operators: address,
        peers: address,
    }
}

/// Starts a daemon with free ports and waits until it serves.
pub fn start_daemon(
    vm: &str,
    data_centre: &str,
    platform: SocketAddr,
    seeds: &[SocketAddr],
) -> Process {
    start_daemon_of(Command::new(BINARY), vm, data_centre, platform, seeds)
}

/// The same for a command that runs the program with the arguments that are added.
pub fn start_daemon_of(
    mut program: Command,
    vm: &str,
    data_centre: &str,
    platform: SocketAddr,
    seeds: &[SocketAddr],
) -> Process {
    let seeds: Vec<String> = seeds.iter().map(ToString::to_string).collect();
    let mut child = program
        .args(["serve", "--vm-id", vm, "--data-centre", data_centre])
        .args(["--caller-address", "127.0.0.1:0"])
        .args(["--operator-address", "127.0.0.1:0"])
        .args(["--peer-address", "127.0.0.1:0"])
        .args(["--platform-address", &platform.to_string()])
        .env("BRIDGEVANE_PEER_SEEDS", seeds.join(","))
        .env("BRIDGEVANE_PEER_KEY", PEER_KEY)
        .env(
            "BRIDGEVANE_OPERATOR_TOKENS",
            format!("{OPERATOR},marco:operator-token-2"),
        )
        .stderr(Stdio::piped())
        .spawn()
        .expect("the daemon starts");
    let stderr = child.stderr.take().expect("standard error is piped");
    let mut lines = BufReader::new(stderr);
    let started = loop {
        let mut line = String::new();
        lines.read_line(&mut line).expect("a log line");
        assert!(!line.is_empty(), "the daemon ended before it served");
        let event: Value = serde_json::from_str(&line).expect("a JSON log line");
        if event["event"] == 1001 {
            break event;
        }
    };
    forward_log(vm.to_owned(), lines);
    let address = |field: &str| {
        let text = started[field].as_str().expect("an address field");
        text.parse().expect("an address")
    };
    Process {
        address: address("callers"),
        operators: address("operators"),
        peers: address("peers"),
        child,
    }
}

/// Forwards a daemon's further log lines to the test's output.
fn forward_log(vm: String, mut lines: BufReader<impl Read + Send + 'static>) {
    std::thread::spawn(move || {
        let mut line = String::new();
        while lines.read_line(&mut line).is_ok_and(|count| count > 0) {
            eprint!("{vm}: {line}");
            line.clear();
        }
    });
}

/// A complete answer.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: http::HeaderMap,
    pub text: String,
}

impl Answer {
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.text).expect("a JSON answer")
    }

    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name).map(|value| value.to_str());
        value.transpose().expect("a text header").unwrap_or("")
    }

    /// Returns the text of a streamed answer's events.
    pub fn streamed_text(&self) -> String {
        let events = self
            .text
            .lines()
            .filter_map(|line| line.strip_prefix("data: "));
        let json = events.filter_map(|event| serde_json::from_str::<Value>(event).ok());
        json.filter_map(|event| {
            let choice = &event["choices"][0];
            let text = choice["delta"]["content"]
                .as_str()
                .or(choice["text"].as_str());
            text.map(str::to_owned)
        })
        .collect()
    }
}

/// Sends a request and reads the whole answer; a cut body reads as `<cut>`.
pub async fn send(
    address: SocketAddr,
    method: http::Method,
    path: &str,
    headers: &[(&str, &str)],
    body: impl Into<Bytes>,
) -> Answer {
    let client = HttpClient::new(address);
    let mut request = client.request(method, path);
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let request = request.body(Full::new(body.into())).expect("a request");
    let response = client.send(request).await.expect("an answer");
    let (head, body) = response.into_parts();
    let body = body.collect().await.map(|body| body.to_bytes());
    let text = body.map(|bytes| String::from_utf8_lossy(&bytes).into_owned());
    Answer {
        status: head.status.as_u16(),
        headers: head.headers,
        text: text.unwrap_or_else(|_| "<cut>".into()),
    }
}

pub async fn post(address: SocketAddr, path: &str, body: Value) -> Answer {
    let key = format!("Bearer {CUSTOMER_KEY}");
    let headers = [
        ("authorization", key.as_str()),
        ("content-type", "application/json"),
    ];
    send(
        address,
        http::Method::POST,
        path,
        &headers,
        body.to_string(),
    )
    .await
}

/// Sends a streamed chat call and reads the whole answer.
pub async fn chat(address: SocketAddr, prompt: &str, max_tokens: u64) -> Answer {
    let body = serde_json::json!({
        "model": "tutor",
        "stream": true,
        "max_tokens": max_tokens,
        "messages": [{ "role": "user", "content": prompt }],
    });
    post(address, "/v1/chat/completions", body).await
}

/// Polls until `condition` holds; panics after 10 s of pauses.
pub async fn eventually<F: Future<Output = bool>>(what: &str, mut condition: impl FnMut() -> F) {
    const ATTEMPTS: u32 = 400;
    for _ in 0..ATTEMPTS {
        if condition().await {
            return;
        }
        tokio::time::sleep(Duration::from_millis(25)).await;
    }
    panic!("not reached in time: {what}");
}

/// Waits until a daemon is ready for requests.
pub async fn wait_until_ready(process: &Process) {
    let address = process.address;
    eventually("the daemon is ready", || async move {
        let answer = send(address, http::Method::GET, "/readyz", &[], "").await;
        answer.status == 200
    })
    .await;
}

/// Returns the configuration of one data centre with these engines and plain workers.
pub fn configuration(data_centre: &str, engines: &[SocketAddr], plain: &[SocketAddr]) -> String {
    let with_data_centre = |addresses: &[SocketAddr]| -> Vec<(String, SocketAddr)> {
        let with_data_centre = addresses
            .iter()
            .map(|address| (data_centre.to_owned(), *address));
        with_data_centre.collect()
    };
    configuration_of_data_centres(&with_data_centre(engines), &with_data_centre(plain))
}

/// Returns the configuration of several data centres: each worker is given with its data centre.
pub fn configuration_of_data_centres(
    engines: &[(String, SocketAddr)],
    plain: &[(String, SocketAddr)],
) -> String {
    let digest = bridgevane::modules::serve::configuration::in_force::key_digest(CUSTOMER_KEY);
    let workers = |service: &str, with_data_centre: &[(String, SocketAddr)]| -> String {
        let worker = |(at, (data_centre, address)): (usize, &(String, SocketAddr))| {
            format!(
                "[service.{service}.engine.{service}-{at}]\naddress = \"{address}\"\n\
                 data_centre = \"{data_centre}\"\nslots = 16\n"
            )
        };
        with_data_centre.iter().enumerate().map(worker).collect()
    };
    format!(
        r#"
[class.booking]
tier = 0
first_token_target_ms = 500
[class.report]
tier = 1
first_token_target_ms = 2000
between_tokens_target_ms = 60
[class.practice]
tier = 2
first_token_target_ms = 5000

[kind.term-report]
class = "report"
[kind.practice-plan]
class = "practice"

[customer.grand-bay]
key_digest = ["{digest}"]
default_kind = "term-report"

[service.tutor]
kind = "model"
models = ["tutor"]
{}
[service.desk]
kind = "plain"
{}
[[service.desk.route]]
prefix = "/bookings"
class = "booking"
[[service.desk.route]]
prefix = "/attendance"
class = "booking"
repeatable = true
"#,
        workers("tutor", engines),
        workers("desk", plain),
    )
}

/// Writes a configuration file whose name is unique to this run of the tests.
pub fn configuration_file(name: &str, text: &str) -> std::path::PathBuf {
    let directory = std::path::Path::new(env!("CARGO_TARGET_TMPDIR"));
    let path = directory.join(format!("{name}-{}.toml", std::process::id()));
    std::fs::write(&path, text).expect("the configuration can be written");
    path
}

/// The processes of one data centre: a platform, engines, one plain worker and daemons.
pub struct Fleet {
    pub platform: Process,
    pub engines: Vec<Process>,
    pub plain: Process,
    pub daemons: Vec<Process>,
}

pub const DATA_CENTRE: &str = "rose-hill";
/// A prompt with this text crashes every engine that begins to run it.
pub const CRASHING_PROMPT: &str = "a prompt that no engine survives";

impl Fleet {
    pub async fn start(name: &str, engines: usize, daemons: usize) -> Self {
        Self::start_of(|| Command::new(BINARY), name, engines, daemons).await
    }

    /// The same with daemons that are started by the commands of `program`.
    pub async fn start_of(
        program: impl Fn() -> Command,
        name: &str,
        engines: usize,
        daemons: usize,
    ) -> Self {
        let engines: Vec<Process> = (0..engines)
            .map(|_| start_standin(&["engine", "--ends-on", CRASHING_PROMPT]))
            .collect();
        let plain = start_standin(&["plain"]);
        let addresses: Vec<SocketAddr> = engines.iter().map(|engine| engine.address).collect();
        let text = configuration(DATA_CENTRE, &addresses, &[plain.address]);
        let file = configuration_file(name, &text);
        let path = file.to_str().expect("a text path");
        let platform = start_standin(&["platform", "--config", path]);
        let mut fleet = Self {
            platform,
            engines,
            plain,
            daemons: Vec::new(),
        };
        for at in 0..daemons {
            fleet.add_daemon_of(program(), &format!("vm-{at}"));
        }
        for daemon in &fleet.daemons {
            wait_until_ready(daemon).await;
        }
        fleet.wait_for_members_everywhere(daemons).await;
        fleet
    }

    pub fn add_daemon(&mut self, vm: &str) {
        self.add_daemon_of(Command::new(BINARY), vm);
    }

    fn add_daemon_of(&mut self, program: Command, vm: &str) {
        let seeds: Vec<SocketAddr> = self.daemons.iter().map(|daemon| daemon.peers).collect();
        let platform = self.platform.address;
        let started = start_daemon_of(program, vm, DATA_CENTRE, platform, &seeds);
        self.daemons.push(started);
    }

    /// Waits until every daemon sees `count` daemons, all of them with `count` live members.
    pub async fn wait_for_members_everywhere(&self, count: usize) {
        for daemon in &self.daemons {
            self.wait_for_members(daemon, count).await;
        }
    }

    /// Waits until a daemon counts `count` live members, which may include members played by a
    /// test.
    pub async fn wait_for_live_members(&self, daemon: &Process, count: usize) {
        let address = daemon.operators;
        eventually("the members are known", || async move {
            let answer = run_statement(address, "show vms").await.json();
            let rows = answer["rows"].as_array().cloned().unwrap_or_default();
            rows.iter().any(|row| field(row, "live_members") == count)
        })
        .await;
    }

    /// Waits until a daemon sees `count` daemons, all of them with `count` live members.
    pub async fn wait_for_members(&self, daemon: &Process, count: usize) {
        let address = daemon.operators;
        eventually("the members are known", || async move {
            let answer = run_statement(address, "show vms").await.json();
            let rows = answer["rows"].as_array().cloned().unwrap_or_default();
            rows.len() == count && rows.iter().all(|row| field(row, "live_members") == count)
        })
        .await;
    }

    /// Returns the index of the daemon that decides for the model pool.
    pub async fn home_index(&self) -> usize {
        let answer = run_statement(
            self.daemons[0].operators,
            "show engines where service = tutor",
        )
        .await;
        let rows = answer.json()["rows"].clone();
        let vm = field(&rows[0], "vm");
        let at = (0..self.daemons.len()).find(|at| vm == format!("vm-{at}").as_str());
        at.expect("the home is one of the daemons")
    }

    /// Sets the faults of a stand-in.
    pub async fn set_fault(&self, standin: &Process, fault: Value) {
        let answer = send(
            standin.address,
            http::Method::POST,
            "/standin/fault",
            &[("content-type", "application/json")],
            fault.to_string(),
        )
        .await;
        assert_eq!(answer.status, 200, "{}", answer.text);
    }
}

/// Returns a field of a row of an answer to an operator; null if it is missing.
pub fn field(row: &Value, name: &str) -> Value {
    let fields = row.as_array().cloned().unwrap_or_default();
    let found = fields.into_iter().find(|field| field["name"] == name);
    found.map_or(Value::Null, |field| field["value"].clone())
}

/// Sends a statement as an operator.
pub async fn run_statement(operators: SocketAddr, statement: &str) -> Answer {
    post_statement(operators, serde_json::json!({ "statement": statement })).await
}

/// Sends a body to the operators' `/v1/ask` as the operator [`OPERATOR`].
pub async fn post_statement(operators: SocketAddr, body: Value) -> Answer {
    let token = OPERATOR.split_once(':').expect("a token").1;
    let bearer = format!("Bearer {token}");
    let headers = [
        ("authorization", bearer.as_str()),
        ("content-type", "application/json"),
    ];
    send(
        operators,
        http::Method::POST,
        "/v1/ask",
        &headers,
        body.to_string(),
    )
    .await
}

/// Sends a call to the plain service with an idempotency key.
pub async fn keyed_call(address: SocketAddr, path: &str, key: &str, body: &str) -> Answer {
    let bearer = format!("Bearer {CUSTOMER_KEY}");
    let headers = [("authorization", bearer.as_str()), ("idempotency-key", key)];
    send(address, http::Method::POST, path, &headers, body.to_owned()).await
}

/// Returns the complete answer of the stand-in engines to a user's prompt.
pub fn expected_text(prompt: &str) -> String {
    let prompt = format!("user: {prompt}\n");
    let length = bridgevane_standins::answer_length(&prompt);
    (0..length)
        .map(|offset| bridgevane_standins::token_text(&prompt, offset))
        .collect()
}

/// Forwards connections to another address. While it is blocked, new connections are closed;
/// every change also closes the open ones.
pub struct Proxy {
    pub address: SocketAddr,
    is_blocked: tokio::sync::watch::Sender<bool>,
}

impl Proxy {
    pub async fn start(target: SocketAddr) -> Self {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port");
        let address = listener.local_addr().expect("an address");
        let (is_blocked, watched) = tokio::sync::watch::channel(false);
        tokio::spawn(async move {
            while let Ok((mut near, _)) = listener.accept().await {
                let mut watched = watched.clone();
                tokio::spawn(async move {
                    if *watched.borrow_and_update() {
                        return;
                    }
                    let far = tokio::net::TcpStream::connect(target).await;
                    let mut far = far.expect("the target listens");
                    tokio::select! {
                        _ = tokio::io::copy_bidirectional(&mut near, &mut far) => {}
                        _ = watched.changed() => {}
                    }
                });
            }
        });
        Self {
            address,
            is_blocked,
        }
    }

    pub fn set_blocked(&self, is_blocked: bool) {
        self.is_blocked.send_replace(is_blocked);
    }
}
