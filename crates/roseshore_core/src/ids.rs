//! Type aliases for identifiers shared between modules.
//!
//! They are aliases rather than newtypes so that they serve as map keys and message fields without
//! conversions; the field's name tells which one is meant.

/// A machine that runs one process of roseshore or of the platform.
pub type HostId = String;
/// A zone of machines that fails or loses its network together.
pub type DataCentreId = String;
/// A group of data centres that are close to each other.
pub type RegionId = String;
/// A customer.
pub type OrganisationId = String;
/// A back end: one engine or one replica of a plain service.
pub type TargetId = String;
/// A part of a prompt, as its callers name it.
pub type PromptPartId = String;
/// A named service that callers ask for.
pub type ServiceId = String;
/// A model family.
pub type ModelId = String;
/// One immutable version of a model's weights.
pub type VersionId = String;
/// A fine-tuned adapter on top of a model version.
pub type AdapterId = String;
/// A request: the id that its caller gave it, if any, followed by `~` and a unique part.
pub type RequestId = String;
/// A caller's idempotency key, already joined with its organisation and service.
pub type Key = String;
/// A command of an operator.
pub type CommandId = String;
/// Position in a stream of the log service; grows by one per record.
pub type Offset = u64;
/// Number of times that a store has been restored from an older copy; 0 where it does not report
/// it.
pub type Era = u64;
/// Number of a route of one answer; grows with every re-route.
pub type Epoch = u32;
/// Number of a process's incarnation; a restarted process has a higher one.
pub type Incarnation = u64;
/// Fencing token: the offset of the lease record that granted the right to give orders.
pub type Fence = u64;
/// Index of a model layer, from 0.
pub type Layer = u16;
/// Index of a token in an answer, from 0.
pub type Position = u32;

/// Whether `id` is the full id of `request`, or the part of it that its caller gave.
pub fn request_id_matches(request: &str, id: &str) -> bool {
    request.strip_prefix(id).is_some_and(|rest| rest.is_empty() || rest.starts_with('~'))
}
