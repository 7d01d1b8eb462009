//! Control of the process, outside the path of the requests.
//!
//! - [`lifecycle`] is the state machine of the process phases.
//! - [`status`] is the state that the core publishes for the other tasks.
//! - [`management`] is the operators' port.
//! - [`reload`] applies a changed configuration.
//! - [`handover`] connects to the other process of this server during an upgrade.

pub mod handover;
pub mod lifecycle;
pub mod management;
pub mod reload;
pub mod status;
