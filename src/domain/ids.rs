//! Ids and indices, a type each.

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    )*};
}

ids! {
    /// A client's request; never used twice, not even when the client tries again.
    CallId(u64);
    /// Number of an attempt within its call, from 0.
    AttemptNumber(u16);
    /// A host's address as one number; it carries no meaning.
    HostId(u64);
    /// Index of a zone.
    Zone(u16);
    /// A few hosts that share which keys of calls they have seen.
    Cell(u16);
    /// Index of a kind of machine.
    Kind(u64);
    /// Index of a traffic class.
    ClassId(u8);
    /// Index of a customer with a share of the fleet.
    TenantId(u32);
    /// What a call concerns; a client that returns brings the same.
    SubjectId(u64);
    /// Connections of one group share work on a host.
    GroupId(u64);
    /// Names a timer of the instance.
    TimerToken(u32);
}
