//! How much of what was written to a TCP connection its other end has not acknowledged. It owns the one system call
//! that no safe library offers; it must never do anything else.

use std::io;
use std::os::fd::AsFd;

/// `TIOCOUTQ`, for sockets `SIOCOUTQ` (tcp(7)): the same number on the processors that this runs on.
#[cfg(all(
    target_os = "linux",
    any(target_arch = "x86_64", target_arch = "aarch64", target_arch = "arm", target_arch = "riscv64")
))]
const TIOCOUTQ: rustix::ioctl::Opcode = 0x5411;

/// Bytes that were written and not acknowledged, an end of the connection that was announced included.
#[cfg(all(
    target_os = "linux",
    any(target_arch = "x86_64", target_arch = "aarch64", target_arch = "arm", target_arch = "riscv64")
))]
#[allow(unsafe_code)]
pub(crate) fn unacknowledged(socket: impl AsFd) -> io::Result<usize> {
    // SAFETY: the opcode is valid on these processors, and tcp(7) says that it stores one `int` and nothing else where
    // its argument points, which is what `Getter` hands it room for. The descriptor is borrowed, so it is open.
    let getter = unsafe { rustix::ioctl::Getter::<TIOCOUTQ, std::ffi::c_int>::new() };
    // SAFETY: as above; the call touches nothing but that room, whatever kind of descriptor this is.
    let bytes = unsafe { rustix::ioctl::ioctl(socket, getter) }?;
    Ok(usize::try_from(bytes).unwrap_or(0))
}

/// Elsewhere nothing is known: everything counts as acknowledged, so a receipt promises a little less.
#[cfg(not(all(
    target_os = "linux",
    any(target_arch = "x86_64", target_arch = "aarch64", target_arch = "arm", target_arch = "riscv64")
)))]
pub(crate) fn unacknowledged(_: impl AsFd) -> io::Result<usize> {
    Ok(0)
}

#[cfg(test)]
mod tests;
