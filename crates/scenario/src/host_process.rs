//! A host as a process of its own.

use crate::linux_process::ProcessResources;
use crate::peer_addresses::PeerAddresses;
use crate::script::{HostAddresses, Script};
use crate::ScenarioError;
use nix::sys::signal::Signal;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdout, Command, Stdio};
use std::time::Duration;
use tackmast_trace::{Event, Recorder};

/// How long a host may take until it listens.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// How often it is checked whether a host has ended.
const END_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// How many times it is checked.
const END_POLLS: u32 = 200;

/// What all host processes of a scenario are started with.
pub(crate) struct LaunchSettings<'a> {
    pub(crate) binary: &'a Path,
    pub(crate) script: &'a Script,
    /// Where hosts reach the endpoint list.
    pub(crate) list: SocketAddr,
    /// Where settings, stores, sockets and logs go.
    pub(crate) directory: &'a Path,
    pub(crate) recorder: &'a Recorder,
}

/// Clocks of a process.
#[derive(Clone, Copy)]
pub(crate) struct ClockSettings {
    /// Seconds by which the wall clock is off.
    pub(crate) off_s: f64,
    /// Rate of the clocks, relative to real time.
    pub(crate) rate: f64,
}

impl Default for ClockSettings {
    fn default() -> Self {
        ClockSettings { off_s: 0.0, rate: 1.0 }
    }
}

/// What one host process is started with.
#[derive(Clone)]
pub(crate) struct ProcessSettings {
    pub(crate) number: u32,
    /// Whether this is a second process with the number: it has files of its own, and no client.
    pub(crate) is_duplicate: bool,
    pub(crate) listen: SocketAddr,
    pub(crate) peers: Option<PeerAddresses>,
    pub(crate) clock: ClockSettings,
}

impl ProcessSettings {
    /// First part of the names of its files.
    pub(crate) fn file_stem(&self) -> String {
        format!("host-{}{}", self.number, if self.is_duplicate { "-twin" } else { "" })
    }
}

/// A running host, or one that has ended.
pub(crate) struct HostProcess {
    pub(crate) settings: ProcessSettings,
    pub(crate) address: SocketAddr,
    pub(crate) is_up: bool,
    pub(crate) is_stopped: bool,
    child: Child,
}

impl HostProcess {
    /// Starts the process and waits until it listens.
    pub(crate) fn start(launch: &LaunchSettings, settings: ProcessSettings) -> Result<Self, ScenarioError> {
        let directory = &std::path::absolute(launch.directory)
            .map_err(|error| ScenarioError::file(launch.directory, error))?;
        let config = write_settings_file(launch, &settings, directory)?;
        let log = open_log(&directory.join(format!("{}.log", settings.file_stem())))?;
        if !settings.is_duplicate {
            launch.recorder.note(Event::HostUp { host: settings.number });
        }
        let mut child = spawn(launch.binary, &config, settings.clock, log)?;
        let stdout = child.stdout.take().ok_or(ScenarioError::NoStandardOutput)?;
        let output = read_first_line(stdout);
        let address = output.trim().strip_prefix("listening ").and_then(|address| address.parse().ok());
        let Some(address) = address else {
            _ = child.kill();
            _ = child.wait();
            return Err(ScenarioError::NoAddress {
                host: settings.number,
                output,
                file_stem: settings.file_stem(),
                directory: directory.display().to_string(),
            });
        };
        Ok(HostProcess { settings, address, is_up: true, is_stopped: false, child })
    }

    /// Starts hosts concurrently, as a cluster does that starts at once.
    pub(crate) fn start_all(
        launch: &LaunchSettings,
        all: Vec<ProcessSettings>,
    ) -> Vec<Result<HostProcess, ScenarioError>> {
        std::thread::scope(|scope| {
            let start = |settings| scope.spawn(move || HostProcess::start(launch, settings));
            let threads: Vec<_> = all.into_iter().map(start).collect();
            let join = |thread: std::thread::ScopedJoinHandle<Result<HostProcess, ScenarioError>>| {
                thread.join().unwrap_or(Err(ScenarioError::StartThread))
            };
            threads.into_iter().map(join).collect()
        })
    }

    /// Kills the process.
    pub(crate) fn kill(&mut self, recorder: &Recorder) {
        self.is_up = false;
        _ = self.child.kill();
        _ = self.child.wait();
        self.is_stopped = false;
        if !self.settings.is_duplicate {
            recorder.note(Event::HostDown { host: self.settings.number });
        }
    }

    fn signal(&self, signal: Signal) {
        // The process was not waited for, so the system has not given its id to another process.
        if self.is_up {
            let process_id = nix::unistd::Pid::from_raw(self.child.id() as i32);
            _ = nix::sys::signal::kill(process_id, signal);
        }
    }

    /// Asks the host to shut down gracefully; `has_ended` tells when it has.
    pub(crate) fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Whether the process has ended.
    pub(crate) fn has_ended(&mut self, recorder: &Recorder) -> bool {
        if self.is_up && matches!(self.child.try_wait(), Ok(Some(_))) {
            self.is_up = false;
            recorder.note(Event::HostDown { host: self.settings.number });
        }
        !self.is_up
    }

    /// Suspends the process until `resume`.
    pub(crate) fn stop(&mut self, recorder: &Recorder) {
        self.signal(Signal::SIGSTOP);
        self.is_stopped = true;
        recorder.note(Event::HostStops { host: self.settings.number });
    }

    /// Resumes a suspended process.
    pub(crate) fn resume(&mut self, recorder: &Recorder) {
        if std::mem::take(&mut self.is_stopped) {
            recorder.note(Event::HostGoes { host: self.settings.number });
            self.signal(Signal::SIGCONT);
        }
    }

    /// CPU time, memory and threads that the process uses.
    pub(crate) fn resources(&self) -> ProcessResources {
        ProcessResources::of_process(self.child.id())
    }

    /// Asks the host to shut down and waits; a host that takes too long is killed.
    pub(crate) fn end(mut self) {
        self.signal(Signal::SIGCONT);
        self.terminate();
        for _ in 0..END_POLLS {
            if let Ok(Some(_)) = self.child.try_wait() {
                self.is_up = false;
                return;
            }
            std::thread::sleep(END_POLL_INTERVAL);
        }
    }
}

/// A scenario that ends early must leave no process behind.
impl Drop for HostProcess {
    fn drop(&mut self) {
        if self.is_up {
            _ = self.child.kill();
            _ = self.child.wait();
        }
    }
}

fn write_settings_file(
    launch: &LaunchSettings,
    settings: &ProcessSettings,
    directory: &Path,
) -> Result<PathBuf, ScenarioError> {
    let stem = settings.file_stem();
    let file = directory.join(format!("{stem}.hcl"));
    let (listen, list, peers) = (settings.listen, launch.list, settings.peers.as_ref());
    let addresses = HostAddresses { listen, list, peers };
    let text = launch.script.host_file(settings.number, &addresses, directory, &stem);
    std::fs::write(&file, text).map_err(|error| ScenarioError::file(&file, error))?;
    Ok(file)
}

fn open_log(path: &Path) -> Result<std::fs::File, ScenarioError> {
    let log = std::fs::OpenOptions::new().create(true).append(true).open(path);
    log.map_err(|error| ScenarioError::file(path, error))
}

fn spawn(
    binary: &Path,
    config: &Path,
    clock: ClockSettings,
    log: std::fs::File,
) -> Result<Child, ScenarioError> {
    Command::new(binary)
        .args(["--log", "json", "--log-level", "debug", "serve", "--config"])
        .arg(config)
        .args(["--clock-off-s", &clock.off_s.to_string(), "--clock-pace", &clock.rate.to_string()])
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(log)
        .spawn()
        .map_err(|error| ScenarioError::file(binary, error))
}

/// The first line that the process prints; empty if there is none in time.
fn read_first_line(stdout: ChildStdout) -> String {
    let (sender, receiver) = crossbeam_channel::bounded(1);
    std::thread::spawn(move || {
        let mut text = String::new();
        let read = BufReader::new(stdout).read_line(&mut text);
        _ = sender.send(read.map(|_| text));
    });
    match receiver.recv_timeout(START_TIMEOUT) {
        Ok(Ok(text)) => text,
        _ => String::new(),
    }
}
