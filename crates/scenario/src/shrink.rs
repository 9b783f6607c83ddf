//! Makes a failing scenario smaller.

#[cfg(test)]
mod tests;

use crate::script::Script;

/// Removes faults one by one for as long as the scenario still fails.
pub fn shrink<E>(script: Script, mut fails: impl FnMut(&Script) -> Result<bool, E>) -> Result<Script, E> {
    let mut smallest = script;
    let mut index = 0;
    while index < smallest.faults.len() {
        let mut candidate = smallest.clone();
        candidate.faults.remove(index);
        match fails(&candidate)? {
            true => smallest = candidate,
            false => index += 1,
        }
    }
    Ok(smallest)
}
