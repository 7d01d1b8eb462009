//! The environment variables of the process: where its configuration is, and where operators connect.

use std::net::SocketAddr;
use std::path::PathBuf;

use crate::edge_config::Config;
use crate::start_error::StartError;

/// Names the configuration file.
const CONFIG: &str = "RELAY_CONFIG";
/// Names the management address; it takes precedence over the configuration.
pub const MANAGEMENT: &str = "RELAY_MANAGEMENT";

/// The path of the configuration file, if the environment names one.
pub fn config_path() -> Option<PathBuf> {
    std::env::var_os(CONFIG).map(PathBuf::from)
}

/// Reads and checks the configuration file that the environment names.
pub fn read_config() -> Result<Config, StartError> {
    let path = config_path().ok_or(StartError::NoConfig)?;
    Ok(Config::read(&path)?)
}

/// Where operators connect: the environment takes precedence over the configuration. Without either nothing listens.
pub fn management_address(config: &Config) -> Result<Option<SocketAddr>, StartError> {
    match std::env::var(MANAGEMENT) {
        Ok(text) => text.parse().map(Some).map_err(|_| StartError::Management { variable: MANAGEMENT, text }),
        Err(_) => Ok(config.management),
    }
}
