//! Numbers by which the host and the scheduler name things.

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {$(
        $(#[$doc])*
        /// A small number that the host gives.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(
            /// The number itself.
            pub u32,
        );
    )*};
}

ids! {
    /// One client request; a client's next try is a new one.
    RequestId,
    /// A storage node.
    NodeId,
    /// Data of one owner, whose requests share a plan's limit.
    VolumeId,
    /// The number of a plan, in the order in which plans were added.
    PlanId,
    /// The number of a traffic class, in the order in which classes were added.
    TrafficClassId,
    /// A piece of data that is read or written.
    KeyId,
    /// The part of the data that one node holds.
    ShardId,
    /// Nodes that may fail together.
    ZoneId,
    /// The number of an attempt within its request, from 0.
    AttemptNumber,
}
