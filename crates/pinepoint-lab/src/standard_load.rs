//! The request classes that experiments and the test cluster send: those of [`crate::process::SETTINGS`].

use crate::load::RequestClass;

/// Cores of the engine in experiments.
pub(crate) const ENGINE_CORES: f64 = 4.0;
/// MessagePack-RPC connections in experiments.
pub(crate) const RPC_CONNECTIONS: usize = 12;
/// Standard deviation of the logarithm of the work of a request.
pub(crate) const WORK_SIGMA: f64 = 0.5;

/// The request classes, with their shares of the requests.
pub(crate) fn request_classes() -> Vec<RequestClass> {
    let class = |name, share, work_ms, keyed, calls| RequestClass { name, share, work_ms, keyed, calls };
    vec![
        class("quick-match", 0.34, 12.0, false, false),
        class("report-view", 0.45, 12.0, false, true),
        class("thesis-submit", 0.21, 7.0, true, true),
    ]
}

/// The rate of these classes, in requests per second, at this share of the capacity of an engine with
/// [`ENGINE_CORES`].
pub(crate) fn rate_at(load_factor: f64) -> f64 {
    let mean_work_ms: f64 = request_classes().iter().map(|class| class.share * class.work_ms).sum();
    load_factor * ENGINE_CORES * 1000.0 / mean_work_ms
}
