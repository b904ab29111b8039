//! Ids and indices, each with its own type.

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    )*};
}

ids! {
    /// Id of a client's request; never reused, not even when the client retries.
    CallId(u64);
    /// Number of an attempt within its call, counted from 0.
    AttemptNumber(u16);
    /// Opaque number that identifies a host by its address.
    HostId(u64);
    /// Index of a zone.
    Zone(u16);
    /// Id of a small set of hosts that share the call keys they have seen.
    Cell(u16);
    /// Index of a kind of machine.
    Kind(u64);
    /// Index of a traffic class.
    ClassId(u8);
    /// Index of a tenant, a customer with a share of the fleet.
    TenantId(u32);
    /// Id of what a call concerns; a returning client sends the same one.
    SubjectId(u64);
    /// Id of a group of connections that share work on a host.
    GroupId(u64);
    /// Identifies a timer of the node.
    TimerToken(u32);
}
