//! What an operator has said of a node. The endpoint list, the guards and the rules go first; an override only scales what the node would
//! be given, or keeps it in service whatever its answers.

/// An operator's weight is taken to be at least this: at zero, divisions by what a node can do would fail.
const MIN_WEIGHT: f64 = 0.01;

/// An operator's override of a node.
#[derive(Clone, Copy)]
pub struct NodeOverride {
    /// The fraction of what the node would be given otherwise; 1 changes nothing.
    pub weight: f64,
    /// The node stays in service whatever its answers.
    pub is_pinned: bool,
}

impl NodeOverride {
    /// Changes nothing.
    pub const NONE: NodeOverride = NodeOverride { weight: 1.0, is_pinned: false };

    /// Brings the weight into bounds.
    pub fn new(weight: f64, is_pinned: bool) -> Self {
        NodeOverride { weight: weight.clamp(MIN_WEIGHT, 1.0), is_pinned }
    }
}
