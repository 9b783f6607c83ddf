//! Faults of host processes: their begin and their end.

use super::{Runner, ANY_LOOPBACK_PORT};
use crate::cluster_network::DUPLICATE_OFFSET;
use crate::host_process::{ClockSettings, HostProcess, ProcessSettings};
use crate::script::{Action, ProcessFault};
use crate::ScenarioError;
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::PoisonError;

/// A file of a host.
#[derive(Clone, Copy)]
enum HostFile {
    Store,
    /// A copy of the store as it was when a fault began.
    OldStore,
    /// Marks that the host has left the cluster.
    Left,
}

impl Runner<'_> {
    /// Tells the watcher of the view what runs of a host now.
    pub(super) fn update_view_watcher(&mut self, host: u32) {
        let Some(watcher) = &self.view_watcher else { return };
        let mut history = watcher.history();
        let admin_socket =
            |process: &HostProcess| self.directory.join(format!("{}.admin", process.settings.file_stem()));
        let process = self.hosts.get(host as usize).and_then(Option::as_ref);
        match process.filter(|process| process.is_up) {
            Some(process) => {
                history.process_started((host, false), admin_socket(process));
                history.set_stopped(host, process.is_stopped);
                if !process.is_stopped {
                    history.host_returned(host);
                }
            }
            None => {
                history.process_ended((host, false));
                history.set_stopped(host, false);
            }
        }
        match self.duplicates.get(&host) {
            Some(duplicate) => history.process_started((host, true), admin_socket(duplicate)),
            None => history.process_ended((host, true)),
        }
    }

    fn record_absence(&self, host: u32) {
        if let Some(watcher) = &self.view_watcher {
            watcher.history().host_left(host);
        }
    }

    pub(super) fn record_fault_change(&self, name: &str) {
        if let Some(watcher) = &self.view_watcher {
            watcher.history().fault_changed(name);
        }
    }

    /// Starts hosts that do not run, concurrently. `change` adapts the settings with which they ran before.
    fn restart(&mut self, hosts: &[u32], change: impl Fn(&mut ProcessSettings)) {
        let mut to_start = Vec::new();
        for host in hosts {
            match self.restart_settings(*host) {
                Ok(None) => {}
                Ok(Some(mut settings)) => {
                    change(&mut settings);
                    to_start.push(settings);
                }
                Err(error) => self.fail(error),
            }
        }
        for started in HostProcess::start_all(&self.launch_settings(), to_start) {
            match started {
                Ok(process) => self.host_restarted(process),
                Err(error) => self.fail(error),
            }
        }
    }

    /// What a host is started with again. `None`: it still runs, as it may not have shut down in time.
    fn restart_settings(&self, host: u32) -> Result<Option<ProcessSettings>, ScenarioError> {
        match self.hosts.get(host as usize).and_then(Option::as_ref) {
            Some(process) if process.is_up => Ok(None),
            Some(process) => {
                Ok(Some(ProcessSettings { listen: process.address, ..process.settings.clone() }))
            }
            None => {
                let listen = self.late_hosts.get(&host).copied().unwrap_or(ANY_LOOPBACK_PORT);
                let members = self.script.scenario.members;
                let peers = members.then(|| self.network.peer_addresses(host, 0)).transpose()?;
                let clock = ClockSettings::default();
                Ok(Some(ProcessSettings { number: host, is_duplicate: false, listen, peers, clock }))
            }
        }
    }

    fn host_restarted(&mut self, process: HostProcess) {
        let number = process.settings.number;
        let address = self.network.host_address(number, process.address);
        let mut addresses = self.host_addresses.write().unwrap_or_else(PoisonError::into_inner);
        if let Some(known) = addresses.get_mut(number as usize) {
            *known = address;
        }
        drop(addresses);
        self.hosts[number as usize] = Some(process);
        self.update_view_watcher(number);
    }

    fn kill(&mut self, hosts: &[u32]) {
        for host in hosts {
            let recorder = self.recorder.clone();
            if let Some(process) = self.running_host(*host) {
                process.kill(&recorder);
                self.record_absence(*host);
                self.update_view_watcher(*host);
            }
        }
    }

    fn terminate(&mut self, hosts: &[u32]) {
        for host in hosts {
            if let Some(process) = self.hosts.get(*host as usize).and_then(Option::as_ref) {
                process.terminate();
                self.shutting_down.insert(*host);
                self.record_absence(*host);
            }
        }
    }

    fn stop(&mut self, hosts: &[u32]) {
        for host in hosts {
            let recorder = self.recorder.clone();
            if let Some(process) = self.running_host(*host).filter(|process| !process.is_stopped) {
                process.stop(&recorder);
                self.record_absence(*host);
                self.update_view_watcher(*host);
            }
        }
    }

    fn resume(&mut self, hosts: &[u32]) {
        for host in hosts {
            if let Some(process) = self.hosts.get_mut(*host as usize).and_then(Option::as_mut) {
                process.resume(&self.recorder);
                self.update_view_watcher(*host);
            }
        }
    }

    fn file(&self, host: u32, file: HostFile) -> PathBuf {
        let extension = match file {
            HostFile::Store => "redb",
            HostFile::OldStore => "old",
            HostFile::Left => "left",
        };
        self.directory.join(format!("host-{host}.{extension}"))
    }

    fn copy_stores(&mut self, hosts: &[u32]) {
        for host in hosts {
            let (store, old_store) =
                (self.file(*host, HostFile::Store), self.file(*host, HostFile::OldStore));
            if let Err(error) = std::fs::copy(store, old_store) {
                self.fail(format!("host {host}: its disk could not be copied: {error}"));
            }
        }
    }

    fn restore_stores(&mut self, hosts: &[u32]) {
        for host in hosts {
            let (store, old_store) =
                (self.file(*host, HostFile::Store), self.file(*host, HostFile::OldStore));
            if let Err(error) = std::fs::rename(old_store, store) {
                self.fail(format!("host {host}: its old disk could not be put back: {error}"));
            }
        }
    }

    fn remove_files(&mut self, hosts: &[u32]) {
        for host in hosts {
            _ = std::fs::remove_file(self.file(*host, HostFile::Store));
            _ = std::fs::remove_file(self.file(*host, HostFile::Left));
        }
    }

    fn start_duplicates(&mut self, hosts: &[u32]) {
        let mut to_start = Vec::new();
        for host in hosts {
            match self.network.peer_addresses(DUPLICATE_OFFSET + host, 0) {
                Ok(peers) => to_start.push(ProcessSettings {
                    number: *host,
                    is_duplicate: true,
                    listen: ANY_LOOPBACK_PORT,
                    peers: Some(peers),
                    clock: ClockSettings::default(),
                }),
                Err(error) => self.fail(error),
            }
        }
        for started in HostProcess::start_all(&self.launch_settings(), to_start) {
            match started {
                Ok(process) => {
                    let number = process.settings.number;
                    self.duplicates.insert(number, process);
                    self.update_view_watcher(number);
                    // The other hosts see that one of the two processes yields, as an absence of the host.
                    self.record_absence(number);
                }
                Err(error) => self.fail(error),
            }
        }
    }

    fn end_duplicates(&mut self, hosts: &[u32]) {
        for host in hosts {
            if let Some(mut duplicate) = self.duplicates.remove(host) {
                duplicate.kill(&self.recorder);
            }
            self.update_view_watcher(*host);
        }
    }

    /// Restarts hosts under another address for their peers.
    fn move_hosts(&mut self, hosts: &[u32]) {
        let mut addresses = BTreeMap::new();
        for host in hosts {
            let move_count = self.move_counts.entry(*host).or_default();
            *move_count += 1;
            match self.network.peer_addresses(*host, *move_count) {
                Ok(peers) => _ = addresses.insert(*host, peers),
                Err(error) => self.fail(error),
            }
        }
        self.restart(hosts, |settings| settings.peers = addresses.get(&settings.number).cloned());
    }

    pub(super) fn begin_process_fault(&mut self, name: &str, action: &Action) {
        match action {
            Action::KillHosts(hosts) => self.kill(hosts),
            Action::Hosts { hosts, fault } => match fault {
                ProcessFault::Late => return,
                ProcessFault::Term => self.terminate(hosts),
                ProcessFault::Stop => self.stop(hosts),
                ProcessFault::Wipe | ProcessFault::Moved | ProcessFault::Clock { .. } => self.kill(hosts),
                ProcessFault::OldDisk => {
                    self.kill(hosts);
                    self.copy_stores(hosts);
                    self.restart(hosts, |_| {});
                }
                ProcessFault::DuplicateId => self.start_duplicates(hosts),
            },
            _ => return,
        }
        self.record_fault_change(&format!("{name} begins"));
    }

    pub(super) fn end_process_fault(&mut self, name: &str, action: &Action) {
        match action {
            Action::KillHosts(hosts) => self.restart(hosts, |_| {}),
            Action::Hosts { hosts, fault } => match fault {
                ProcessFault::Late => self.restart(hosts, |_| {}),
                ProcessFault::Term => {
                    // A host that has not shut down by now is killed.
                    self.kill(hosts);
                    hosts.iter().for_each(|host| _ = self.shutting_down.remove(host));
                    self.restart(hosts, |_| {});
                }
                ProcessFault::Stop => self.resume(hosts),
                ProcessFault::Wipe => {
                    self.remove_files(hosts);
                    self.restart(hosts, |_| {});
                }
                ProcessFault::OldDisk => {
                    self.kill(hosts);
                    self.restore_stores(hosts);
                    self.restart(hosts, |_| {});
                }
                ProcessFault::DuplicateId => self.end_duplicates(hosts),
                ProcessFault::Moved => self.move_hosts(hosts),
                ProcessFault::Clock { off_s, rate } => {
                    let clock = ClockSettings { off_s: *off_s, rate: *rate };
                    self.restart(hosts, |settings| settings.clock = clock);
                }
            },
            _ => return,
        }
        self.record_fault_change(&format!("{name} ends"));
    }

    /// Notices hosts that have shut down.
    pub(super) fn check_shutdowns(&mut self) {
        for host in self.shutting_down.clone() {
            let process = self.hosts.get_mut(host as usize).and_then(Option::as_mut);
            if process.is_none_or(|process| process.has_ended(&self.recorder)) {
                self.shutting_down.remove(&host);
                self.update_view_watcher(host);
            }
        }
    }
}
