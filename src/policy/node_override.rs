//! An operator's override of a node. The endpoint list, the guards and the rules take precedence: an override only
//! scales the load that the node would get, or keeps the node in service whatever its answers.

/// The lowest weight that takes effect: with zero, the scheduler would divide by a capacity of zero.
const MIN_WEIGHT: f64 = 0.01;

/// An operator's override of a node.
#[derive(Clone, Copy)]
pub struct NodeOverride {
    /// The fraction of the usual load that the node gets; 1 changes nothing.
    pub weight: f64,
    /// The node is never ejected, whatever its answers.
    pub is_pinned: bool,
}

impl NodeOverride {
    /// The override that changes nothing.
    pub const NONE: NodeOverride = NodeOverride { weight: 1.0, is_pinned: false };

    /// Creates an override, with the weight clamped to the valid range.
    pub fn new(weight: f64, is_pinned: bool) -> Self {
        NodeOverride { weight: weight.clamp(MIN_WEIGHT, 1.0), is_pinned }
    }
}
