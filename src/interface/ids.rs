//! The numbers by which host and scheduler identify requests, nodes and other objects.

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {$(
        $(#[$doc])*
        ///
        /// The host assigns the number.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(
            /// The number.
            pub u32,
        );
    )*};
}

ids! {
    /// A client request. When a client retries, that is a new request.
    RequestId,
    /// A storage node.
    NodeId,
    /// A volume: data of one owner, whose requests share the limit of a plan.
    VolumeId,
    /// The number of a plan, in the order in which plans were added.
    PlanId,
    /// The number of a traffic class, in the order in which classes were added.
    TrafficClassId,
    /// A piece of data that is read or written.
    KeyId,
    /// A shard: a part of the data that one node holds.
    ShardId,
    /// A zone: nodes that may fail together.
    ZoneId,
    /// The number of an attempt within its request, from 0.
    AttemptNumber,
}
