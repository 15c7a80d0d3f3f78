//! Aliases for the identifiers that travel between modules.
//!
//! They are aliases and not new types so that they can be keys of maps and fields of messages
//! without ceremony; the field's name says which one is meant.

/// A machine that runs one process of ours or of the platform's.
pub type HostId = String;
/// A zone of machines that fails or is cut off together.
pub type DataCentreId = String;
/// A group of data centres that are close to each other.
pub type RegionId = String;
/// A customer.
pub type OrganisationId = String;
/// A back end: one engine or one replica of a plain service.
pub type TargetId = String;
/// A named service that callers ask for.
pub type ServiceId = String;
/// A model family.
pub type ModelId = String;
/// One immutable version of a model.
pub type VersionId = String;
/// A fine-tuned adapter on top of a model version.
pub type AdapterId = String;
/// A request: the id that its caller gave it, if any, with `~` and a part that never occurs twice.
pub type RequestId = String;
/// A caller's idempotency key, already joined with its organisation and service.
pub type Key = String;
/// A command of an operator.
pub type CommandId = String;
/// A place in a stream of the log service; grows by one per record.
pub type Offset = u64;
/// How often a store has come back from an older copy; 0 where it does not say.
pub type Era = u64;
/// The number of a route of one answer; grows with every re-route.
pub type Epoch = u32;
/// The number of a process's life; a restarted process has a higher one.
pub type Incarnation = u64;
/// A fencing number: the offset of the lease record that gave the right to order.
pub type Fence = u64;
/// The index of a model layer, from 0.
pub type Layer = u16;
/// The index of a token in an answer, from 0.
pub type Position = u32;

/// Whether `id` is a request's whole id, or the part of it that its caller gave.
pub fn request_id_matches(request: &str, id: &str) -> bool {
    request.strip_prefix(id).is_some_and(|rest| rest.is_empty() || rest.starts_with('~'))
}
