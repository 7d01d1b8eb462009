//! The environment variables of the process: the path of the configuration file, and the management address.

use std::net::SocketAddr;
use std::path::PathBuf;

use crate::edge_config::Config;
use crate::start_error::StartError;

/// Variable with the path of the configuration file.
const CONFIG: &str = "RELAY_CONFIG";
/// Variable with the management address, which takes precedence over the configuration file.
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

/// The management address. The environment takes precedence over the configuration file; if neither gives an
/// address, the process opens no management port.
pub fn management_address(config: &Config) -> Result<Option<SocketAddr>, StartError> {
    match std::env::var(MANAGEMENT) {
        Ok(text) => text.parse().map(Some).map_err(|_| StartError::Management { variable: MANAGEMENT, text }),
        Err(_) => Ok(config.management),
    }
}
