//! `tackmast serve` as a process: what it logs when it ends, and what it answers where its settings lack a block.

use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use tackmast_admin::{Answer, Call};
use tackmast_client::{Client, Op, Options, Protocol};
use tackmast_host_core::{AdminRequest, AdminResponse};

/// How long a test waits for what must happen soon.
const TEST_TIMEOUT: Duration = Duration::from_secs(5);

/// A host that knows of no node, so that a command stays open until its deadline.
fn settings(folder: &Path) -> String {
    let (store, admin) = (folder.join("store"), folder.join("admin"));
    format!(
        "host {{\n number = 0\n hosts = 1\n listen = \"127.0.0.1:0\"\n node_list = \"127.0.0.1:1\"\n}}\n\
         bounds {{\n drain_ms = 300\n}}\n\
         units {{\n bytes = 4096\n most = 8\n mean = 2\n}}\n\
         overrides {{\n store = {store:?}\n admin = {admin:?}\n}}\n\
         plan \"basic\" {{\n}}\n\
         stream \"s\" {{\n slo_ms = 20000\n expiry_ms = 30000\n effect = \"repeatable\"\n}}\n\
         volume \"museum\" {{\n lun = 0\n plan = \"basic\"\n blocks = 1000\n extent_blocks = 64\n shards = [0]\n \
         hosts = 1\n reads = \"s\"\n writes = \"s\"\n}}\n"
    )
}

/// A host as a process, which ends with the test.
struct HostProcess(Child);

impl HostProcess {
    fn start(file: &Path) -> HostProcess {
        let mut command = Command::new(env!("CARGO_BIN_EXE_tackmast"));
        command.args(["serve", "--config"]).arg(file).stdout(Stdio::piped()).stderr(Stdio::piped());
        HostProcess(command.spawn().expect("the command starts"))
    }

    /// The address at which the host serves clients, by its first line.
    fn address(&mut self) -> SocketAddr {
        let mut line = String::new();
        BufReader::new(self.0.stdout.take().unwrap()).read_line(&mut line).unwrap();
        line.trim().strip_prefix("listening ").expect("an address").parse().expect("an address")
    }

    /// Sends SIGTERM and waits until the host has ended. Returns its log.
    fn terminate(mut self) -> String {
        let id = self.0.id().to_string();
        assert!(Command::new("kill").args(["-TERM", &id]).status().unwrap().success());
        let mut log = String::new();
        self.0.stderr.take().unwrap().read_to_string(&mut log).unwrap();
        assert!(self.0.wait().unwrap().success(), "{log}");
        log
    }
}

impl Drop for HostProcess {
    fn drop(&mut self) {
        _ = self.0.kill();
        _ = self.0.wait();
    }
}

/// How many commands are open at the host with this admin socket.
fn open_commands(admin: &Path) -> usize {
    let answer = tackmast_admin::call(admin, &Call::AdminRequest(AdminRequest::Status), TEST_TIMEOUT);
    let Ok(Answer::AdminResponse(response)) = answer else { panic!("{answer:?}") };
    let AdminResponse::Status(status) = *response else { panic!("{response:?}") };
    status.commands
}

/// The number in a field of a log line.
fn field(line: &str, name: &str) -> u64 {
    let value = line.split_whitespace().find_map(|part| part.strip_prefix(&format!("{name}=")));
    value.and_then(|value| value.parse().ok()).unwrap_or_else(|| panic!("{name}: {line}"))
}

/// A host receives SIGTERM while a command is open, and answers it at the end of its drain. The totals that it logs have that answer too:
/// without it, whoever compares them with the clients' would look for a command that was lost.
#[test]
fn totals_at_the_end_hold_the_answers_of_the_drain() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("host.hcl");
    std::fs::write(&file, settings(folder.path())).unwrap();
    let mut host = HostProcess::start(&file);
    let options = Options::new(Protocol::Iscsi, host.address(), "", 0);
    let client = Client::open(options, TEST_TIMEOUT).unwrap();
    let _read = client.submit(Op::Read { offset: 0, length: 4096 }, Some(TEST_TIMEOUT));
    let give_up_at = Instant::now() + TEST_TIMEOUT;
    while open_commands(&folder.path().join("admin")) == 0 {
        assert!(Instant::now() < give_up_at, "no command is open");
        std::thread::sleep(Duration::from_millis(5));
    }
    let log = host.terminate();
    let totals = log.lines().find(|line| line.contains("host ends")).expect(&log);
    let answered = field(totals, "done") + field(totals, "rejected") + field(totals, "failed");
    assert!(field(totals, "taken") > 0, "{totals}");
    assert_eq!(field(totals, "taken"), answered, "{totals}");
}

/// An operator asks for the plans of a host that has no plans block. The error is that reason with the host, not that of a change which
/// could not be written.
#[test]
fn question_without_its_block_is_answered_by_that_reason() {
    let folder = tempfile::tempdir().unwrap();
    let file = folder.path().join("host.hcl");
    std::fs::write(&file, settings(folder.path())).unwrap();
    let mut host = HostProcess::start(&file);
    host.address();
    let admin = folder.path().join("admin");
    let mut command = Command::new(env!("CARGO_BIN_EXE_tackmast"));
    let output = command.args(["plan", "show", "--host"]).arg(&admin).output().unwrap();
    let expected =
        format!("tackmast: host {}: this host has no plans block in its settings\n", admin.display());
    assert_eq!(String::from_utf8_lossy(&output.stderr), expected);
}
