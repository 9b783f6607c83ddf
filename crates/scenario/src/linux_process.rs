//! Resources of a process, as /proc shows them.

/// Ticks per second in which /proc counts CPU time.
const TICKS_PER_SECOND: f64 = 100.0;
/// Fields of /proc/PID/stat after the name of the program: ticks in user mode and in the kernel.
const CPU_FIELDS: (usize, usize) = (11, 12);
/// KiB in a MiB.
const KIB_PER_MIB: f64 = 1024.0;

/// Resources of a host process at the end of a scenario.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProcessResources {
    /// CPU time in seconds.
    pub cpu_s: f64,
    /// Resident memory in MiB.
    pub memory_mib: f64,
    /// Number of threads.
    pub threads: u32,
}

impl ProcessResources {
    /// Resources of a running process; 0 for what the system does not tell.
    pub(crate) fn of_process(process_id: u32) -> ProcessResources {
        let (memory_mib, threads) = memory_and_threads(process_id).unwrap_or_default();
        ProcessResources { cpu_s: cpu_s(process_id).unwrap_or_default(), memory_mib, threads }
    }
}

fn cpu_s(process_id: u32) -> Option<f64> {
    let stat = std::fs::read_to_string(format!("/proc/{process_id}/stat")).ok()?;
    let after_name = stat.rsplit_once(')')?.1;
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    let ticks = |index: usize| fields.get(index)?.parse::<f64>().ok();
    Some((ticks(CPU_FIELDS.0)? + ticks(CPU_FIELDS.1)?) / TICKS_PER_SECOND)
}

fn memory_and_threads(process_id: u32) -> Option<(f64, u32)> {
    let status = std::fs::read_to_string(format!("/proc/{process_id}/status")).ok()?;
    let field = |name: &str| {
        let line = status.lines().find(|line| line.starts_with(name))?;
        line.split_whitespace().nth(1)?.parse::<f64>().ok()
    };
    Some((field("VmRSS:")? / KIB_PER_MIB, field("Threads:")? as u32))
}
