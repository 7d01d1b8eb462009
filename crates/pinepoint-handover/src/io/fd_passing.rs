//! Sending and receiving of bytes with attached file descriptors (`SCM_RIGHTS`).

use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::net::UnixStream;

use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer, SendAncillaryMessage,
    SendFlags,
};

/// Maximum number of listening sockets that can be passed.
pub const MAX_LISTENERS: usize = 8;

/// Sends `bytes` with `fds` attached; returns the number of bytes sent.
pub(super) fn send_with_fds(stream: &UnixStream, bytes: &[u8], fds: &[OwnedFd]) -> io::Result<usize> {
    let borrowed: Vec<_> = fds.iter().map(AsFd::as_fd).collect();
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_LISTENERS))];
    let mut control = SendAncillaryBuffer::new(&mut space);
    if !borrowed.is_empty() && !control.push(SendAncillaryMessage::ScmRights(&borrowed)) {
        return Err(io::ErrorKind::InvalidInput.into());
    }
    let sent = rustix::net::sendmsg(stream, &[IoSlice::new(bytes)], &mut control, SendFlags::NOSIGNAL)?;
    Ok(sent)
}

/// Receives bytes and appends the attached descriptors to `fds`; returns the number of bytes received, 0 at
/// end of stream.
pub(super) fn receive_with_fds(
    stream: &UnixStream,
    buffer: &mut [u8],
    fds: &mut Vec<OwnedFd>,
) -> io::Result<usize> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_LISTENERS))];
    let mut control = RecvAncillaryBuffer::new(&mut space);
    let mut slices = [IoSliceMut::new(buffer)];
    let received = rustix::net::recvmsg(stream, &mut slices, &mut control, RecvFlags::CMSG_CLOEXEC)?;
    for message in control.drain() {
        if let RecvAncillaryMessage::ScmRights(attached) = message {
            fds.extend(attached);
        }
    }
    Ok(received.bytes)
}
