//! The life of the process: [`lifecycle`] has its phases and [`status`] what all parts see of them, [`management`] is the
//! operators' port, [`reload`] puts a changed configuration in force, and [`handover`] connects to the other process of
//! this server during an upgrade.

pub mod handover;
pub mod lifecycle;
pub mod management;
pub mod reload;
pub mod status;
