"""Messages between the processes of one sidecar: one datagram each, some with descriptors beside them."""

from __future__ import annotations

import struct
from dataclasses import dataclass

_VERSION = 1  # processes of different versions share nothing
_HEAD = struct.Struct("!BB")
_HELLO = struct.Struct("!QI")
_WELCOME = struct.Struct("!II")
_COUNT = struct.Struct("!I")
_LIST_VERSION = struct.Struct("!Q")
MAX_MESSAGE_BYTES = 1_024
MAX_DESCRIPTORS = 2


class MessageError(Exception):
    """A datagram is not a message of this version."""


@dataclass(frozen=True, slots=True)
class Hello:
    """A process joins; its listening socket comes with it, as the proof that it belongs to this sidecar.

    Attributes:
        journal: The identity of the journal that it uses; 0 if it uses none.
        owner: Its number in that journal.
    """

    journal: int = 0
    owner: int = 0


@dataclass(frozen=True, slots=True)
class Welcome:
    """The answer to `Hello`; the journal and, as a proof, the listening socket come with it.

    Attributes:
        sender: The number of the sending process in the journal.
        owner: The number of the receiving one.
    """

    sender: int
    owner: int


@dataclass(frozen=True, slots=True)
class ProcessCount:
    """How many processes of the sidecar run now."""

    count: int


@dataclass(frozen=True, slots=True)
class EndpointListChanged:
    """The sender's endpoint list, which comes in a memory file beside the message.

    Attributes:
        version: Its version.
        discovery: Address of the discovery server that has sent it, since versions differ between servers.
    """

    version: int
    discovery: str


Message = Hello | Welcome | ProcessCount | EndpointListChanged


def encode(message: Message) -> bytes:
    """Returns the datagram of a message."""
    match message:
        case Hello(journal, owner):
            return _HEAD.pack(_VERSION, 1) + _HELLO.pack(journal, owner)
        case Welcome(sender, owner):
            return _HEAD.pack(_VERSION, 2) + _WELCOME.pack(sender, owner)
        case ProcessCount(count):
            return _HEAD.pack(_VERSION, 3) + _COUNT.pack(count)
        case EndpointListChanged(version, discovery):
            return _HEAD.pack(_VERSION, 4) + _LIST_VERSION.pack(version) + discovery.encode()


def decode(datagram: bytes) -> Message:
    """Returns the message of a datagram.

    Raises:
        MessageError: It is not a message of this version.
    """
    try:
        version, kind = _HEAD.unpack_from(datagram)
        if version == _VERSION:
            return _decode_body(kind, datagram[_HEAD.size :])
    except (struct.error, UnicodeDecodeError) as error:
        raise MessageError(str(error)) from None
    raise MessageError(f"version {version} is not {_VERSION}")


def _decode_body(kind: int, body: bytes) -> Message:
    match kind:
        case 1:
            return Hello(*_HELLO.unpack(body))
        case 2:
            return Welcome(*_WELCOME.unpack(body))
        case 3:
            return ProcessCount(*_COUNT.unpack(body))
        case 4:
            (version,) = _LIST_VERSION.unpack_from(body)
            return EndpointListChanged(version, body[_LIST_VERSION.size :].decode())
        case _:
            raise MessageError(f"kind {kind} is not known")
