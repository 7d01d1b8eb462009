//! Limits on the fields and the body of a request, which hold in the frontends of all protocols. A value past
//! its limit is refused and not clamped.

/// Maximum length of a request body, bytes.
pub const MAX_BODY_BYTES: usize = 2048;
/// Maximum length of an idempotency key or subject, bytes.
pub const MAX_KEY_BYTES: usize = 64;
/// Exclusive upper bound of the memory that is reserved for a pending request, kB.
pub const REQUEST_MEMORY_LIMIT_KB: f64 = 2000.0;
/// Exclusive upper bound of a work hint, and of the time that a caller waits, as a multiple of the timeout of
/// the class.
pub const MAX_TIMEOUT_MULTIPLE: f64 = 100.0;
