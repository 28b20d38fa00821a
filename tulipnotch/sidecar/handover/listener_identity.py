"""The listening socket that all processes of one sidecar inherit, as their common name and as a proof."""

from __future__ import annotations

import os
import socket
import struct

_SO_COOKIE = 57  # socket option of Linux: a number that no other socket of the machine has had or will have
_COOKIE_BYTES = 8
_CREDENTIALS = struct.Struct("3i")  # process id, user id and group id of SO_PEERCRED


def socket_cookie(listener: socket.socket) -> bytes:
    """Returns the number by which the kernel knows a socket, the same in all processes that inherit it.

    Raises:
        OSError: The system does not offer it.
    """
    return listener.getsockopt(socket.SOL_SOCKET, _SO_COOKIE, _COOKIE_BYTES)


def channel_name(listener: socket.socket) -> bytes:
    """Returns the address (Unix, abstract) at which the processes with this listening socket meet.

    Raises:
        OSError: The system does not offer the number that it is made of.
    """
    return b"\0tulipnotch-" + socket_cookie(listener).hex().encode()


def is_same_socket(descriptor: int, listener: socket.socket) -> bool:
    """Returns whether a descriptor that was received is that of this listening socket.

    Only a process that has the socket can pass it on, so it belongs to this sidecar.
    """
    try:
        borrowed = socket.socket(fileno=descriptor)
    except OSError:
        return False  # it is no socket
    try:
        return socket_cookie(borrowed) == socket_cookie(listener)
    except OSError:
        return False
    finally:
        borrowed.detach()


def is_peer_of_same_user(connection: socket.socket) -> bool:
    """Returns whether the process at the other end of a Unix connection runs as the same user."""
    try:
        credentials = connection.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, _CREDENTIALS.size)
    except OSError:
        return False
    return bool(_CREDENTIALS.unpack(credentials)[1] == os.geteuid())
