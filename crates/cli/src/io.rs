//! `tackmast io`: reads, writes and load over the client library, with either protocol.

mod error;
mod load;
mod ranges;

pub(crate) use error::IoError;
pub(crate) use load::LoadArguments;

use crate::exit_code;
use ranges::{read_all, write_all};
use std::fs::File;
use std::io::{Read, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::time::Duration;
use tackmast_client::{Client, Options, Protocol};

/// How long the first session may take.
const OPEN_TIMEOUT: Duration = Duration::from_secs(5);
/// Largest number of sessions.
const MAX_SESSIONS: usize = 64;

#[derive(Clone, Copy, Debug, clap::ValueEnum)]
enum ProtocolName {
    Iscsi,
    Nbd,
}

/// The volume that is used, and how it is reached.
#[derive(clap::Args)]
pub(crate) struct Volume {
    /// Where the gateway listens for this protocol.
    #[arg(long)]
    address: SocketAddr,
    /// The protocol.
    #[arg(long, value_enum, default_value_t = ProtocolName::Iscsi)]
    protocol: ProtocolName,
    /// LUN of the volume, over iSCSI.
    #[arg(long, default_value_t = 0)]
    lun: u32,
    /// Name of the volume, over NBD.
    #[arg(long = "volume", value_name = "VOLUME", default_value = "")]
    name: String,
    /// Name of the iSCSI target.
    #[arg(long, default_value = "iqn.2026-12.org.tackmast:pool")]
    target: String,
    /// Number of sessions.
    #[arg(long, default_value_t = 2)]
    sessions: usize,
    /// Time for one call.
    #[arg(long, alias = "expiry", default_value = "3s")]
    timeout: humantime::Duration,
}

impl Volume {
    fn open(&self) -> Result<Client, IoError> {
        let protocol = match self.protocol {
            ProtocolName::Iscsi => Protocol::Iscsi,
            ProtocolName::Nbd => Protocol::Nbd,
        };
        let mut options = Options::new(protocol, self.address, &self.name, self.lun);
        options.volume.target.clone_from(&self.target);
        options.sessions = self.sessions.clamp(1, MAX_SESSIONS);
        options.timeout = self.timeout.into();
        Ok(Client::open(options, OPEN_TIMEOUT)?)
    }
}

/// Arguments of `tackmast io`.
#[derive(clap::Subcommand)]
pub(crate) enum IoCommand {
    /// Reads bytes to standard output.
    Read {
        /// First byte.
        offset: u64,
        /// Number of bytes.
        length: u64,
        /// The volume.
        #[command(flatten)]
        volume: Volume,
    },
    /// Writes standard input to the volume.
    Write {
        /// First byte.
        offset: u64,
        /// The volume.
        #[command(flatten)]
        volume: Volume,
    },
    /// Copies a file into the volume.
    Copy {
        /// The file.
        file: PathBuf,
        /// First byte in the volume.
        #[arg(long, default_value_t = 0)]
        offset: u64,
        /// The volume.
        #[command(flatten)]
        volume: Volume,
    },
    /// Compares a file with the data of the volume.
    Verify {
        /// The file.
        file: PathBuf,
        /// First byte in the volume.
        #[arg(long, default_value_t = 0)]
        offset: u64,
        /// The volume.
        #[command(flatten)]
        volume: Volume,
    },
    /// Reads and writes at random places at a set rate, for a set time. Overwrites data.
    Load {
        /// The load.
        #[command(flatten)]
        load: LoadArguments,
        /// The volume.
        #[command(flatten)]
        volume: Volume,
    },
}

/// Opens the volume, and runs the command on it.
pub(crate) fn run(command: IoCommand) -> Result<ExitCode, IoError> {
    match command {
        IoCommand::Read { offset, length, volume } => {
            let mut output = std::io::stdout().lock();
            let client = volume.open()?;
            read_all(&client, offset, length, |_, data| output.write_all(&data).map_err(IoError::Output))?;
        }
        IoCommand::Write { offset, volume } => {
            let client = volume.open()?;
            let written = write_all(&client, offset, std::io::stdin().lock())?;
            eprintln!("{written} bytes written");
        }
        IoCommand::Copy { file, offset, volume } => {
            let input = File::open(&file).map_err(|source| IoError::File { path: file, source })?;
            let client = volume.open()?;
            let copied = write_all(&client, offset, input)?;
            eprintln!("{copied} bytes copied");
        }
        IoCommand::Verify { file, offset, volume } => return verify(&file, offset, &volume),
        IoCommand::Load { load, volume } => {
            load.check()?;
            load::run(&volume.open()?, &load)?;
        }
    }
    Ok(ExitCode::SUCCESS)
}

/// Compares a file with the data of the volume. The exit code says whether they are equal.
fn verify(path: &Path, offset: u64, volume: &Volume) -> Result<ExitCode, IoError> {
    let file_error = |source| IoError::File { path: path.to_owned(), source };
    let mut file = File::open(path).map_err(file_error)?;
    let length = file.metadata().map_err(file_error)?.len();
    let client = volume.open()?;
    let block = u64::from(client.volume().block_bytes);
    let mut first_difference: Option<u64> = None;
    read_all(&client, offset, length.next_multiple_of(block), |data_offset, data| {
        let mut expected = Vec::with_capacity(data.len());
        let mut piece = Read::take(&mut file, data.len() as u64);
        piece.read_to_end(&mut expected).map_err(IoError::Output)?;
        let difference = expected.iter().zip(&data).position(|(expected, found)| expected != found);
        let difference = difference.map(|index| data_offset - offset + index as u64);
        first_difference = first_difference.or(difference);
        Ok(())
    })?;
    match first_difference {
        None => {
            eprintln!("{length} bytes are equal");
            Ok(ExitCode::SUCCESS)
        }
        Some(byte) => {
            eprintln!("data differs from byte {byte} on");
            Ok(exit_code::of_result(false))
        }
    }
}
