//! Names of the reference models that the host core is compared with.

use super::SimulatorError;
use tackmast_simulator::ReferenceModel;

/// The reference model of this name; `place` is the option or file that names it.
pub(super) fn parse(place: &str, name: &str) -> Result<ReferenceModel, SimulatorError> {
    match name {
        "fcfs" => Ok(ReferenceModel::Fcfs),
        "caps" => Ok(ReferenceModel::Caps),
        "buckets" => Ok(ReferenceModel::Buckets),
        _ => Err(SimulatorError::UnknownReferenceModel { place: place.to_owned(), name: name.to_owned() }),
    }
}
