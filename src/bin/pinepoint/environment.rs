//! What the environment tells the program: where its configuration is, and where operators connect.

use std::net::SocketAddr;
use std::path::PathBuf;

use crate::edge_config::Config;
use crate::start_error::StartError;

/// Names the management address, before the configuration does.
pub const MANAGEMENT: &str = "RELAY_MANAGEMENT";

/// The platform's file, if the environment names one.
pub fn named_config() -> Option<PathBuf> {
    std::env::var_os("RELAY_CONFIG").map(PathBuf::from)
}

/// Where operators connect: the environment goes before the configuration. Without either nothing listens.
pub fn management_address(config: &Config) -> Result<Option<SocketAddr>, StartError> {
    match std::env::var(MANAGEMENT) {
        Ok(text) => text.parse().map(Some).map_err(|_| StartError::Management { variable: MANAGEMENT, text }),
        Err(_) => Ok(config.management),
    }
}

/// The platform's file, read and checked.
pub fn configuration() -> Result<Config, StartError> {
    Ok(Config::read(&named_config().ok_or(StartError::NoConfig)?)?)
}
