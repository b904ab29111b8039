//! The hash that turns names into numbers; it is the same at every node and in every release.

const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// The number that stands for the name of a host, subject, group or kind.
///
/// Names are compared by this number only, so it must be wide enough that a collision of two names is
/// practically impossible.
pub(crate) fn hash_name(name: &str) -> u64 {
    hash_bytes(name.bytes())
}

/// 64-bit [FNV-1a](http://www.isthe.com/chongo/tech/comp/fnv/).
pub(crate) fn hash_bytes(bytes: impl Iterator<Item = u8>) -> u64 {
    bytes.fold(FNV_OFFSET_BASIS, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME))
}
