//! Control of the process, beside the way of the requests.
//!
//! - [`lifecycle`] is its phases as a state machine, [`status`] what the core publishes for the other tasks.
//! - [`management`] is the operators' port.
//! - [`reload`] applies a changed configuration.
//! - [`handover`] connects to the other process of this server during an upgrade.

pub mod handover;
pub mod lifecycle;
pub mod management;
pub mod reload;
pub mod status;
