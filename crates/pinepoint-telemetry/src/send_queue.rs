//! The number of bytes written to a TCP connection that the peer has not acknowledged.
//!
//! This module contains only the one system call for which no safe library exists.

use std::io;
use std::os::fd::AsFd;

/// `TIOCOUTQ`, for sockets `SIOCOUTQ` (tcp(7)): the same number on all processors listed here.
#[cfg(all(
    target_os = "linux",
    any(target_arch = "x86_64", target_arch = "aarch64", target_arch = "arm", target_arch = "riscv64")
))]
const TIOCOUTQ: rustix::ioctl::Opcode = 0x5411;

/// Bytes that were written and not acknowledged. A FIN that was sent counts as one byte.
///
/// # Errors
///
/// The error of the system call, for instance if the descriptor is not a socket.
#[cfg(all(
    target_os = "linux",
    any(target_arch = "x86_64", target_arch = "aarch64", target_arch = "arm", target_arch = "riscv64")
))]
#[allow(unsafe_code)]
pub(crate) fn unacknowledged_bytes(socket: impl AsFd) -> io::Result<usize> {
    // SAFETY: the opcode is valid on these processors, and tcp(7) says that it stores one `int` and nothing
    // else where its argument points, which is what `Getter` provides space for. The descriptor is borrowed,
    // so it is open.
    let getter = unsafe { rustix::ioctl::Getter::<TIOCOUTQ, std::ffi::c_int>::new() };
    // SAFETY: as above; the call touches nothing but that space, whatever kind of descriptor this is.
    let bytes = unsafe { rustix::ioctl::ioctl(socket, getter) }?;
    Ok(usize::try_from(bytes).unwrap_or(0))
}

/// On other systems the queue cannot be read. All bytes count as acknowledged there, so that an
/// acknowledgement guarantees a little less.
#[cfg(not(all(
    target_os = "linux",
    any(target_arch = "x86_64", target_arch = "aarch64", target_arch = "arm", target_arch = "riscv64")
)))]
pub(crate) fn unacknowledged_bytes(_: impl AsFd) -> io::Result<usize> {
    Ok(0)
}

#[cfg(test)]
mod tests;
