"""The endpoint list that the processes of one sidecar share, so that all use the newest one."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Callable
from typing import Protocol

from tulipnotch.sidecar.discovery.endpoint_list_codec import (
    DiscoveryError,
    DiscoveryResponse,
    EndpointListLimits,
    decode_endpoint_list,
    encode_endpoint_list,
)
from tulipnotch.sidecar.handover.messages import EndpointListChanged

# Changes within this time are sent together; it is a fraction of the shortest drain grace.
_COALESCING_DELAY_S = 0.05


class EndpointListSource(Protocol):
    """Has the endpoint list of this process."""

    @property
    def discovery_address(self) -> str:
        """The address of discovery, as `address:port`."""
        ...

    def is_newer(self, version: int) -> bool:
        """Returns whether this version is newer than that of the list in force."""
        ...

    def complete_list(self) -> DiscoveryResponse | None:
        """Returns the list in force with its version; None if its version can't be compared."""
        ...

    def sibling_list_received(self, response: DiscoveryResponse) -> None:
        """Applies the list of another process if it is newer."""
        ...


class EndpointListExchange:
    """Sends this process's endpoint list to the others after each change, and applies theirs."""

    def __init__(
        self,
        source: EndpointListSource,
        limits: EndpointListLimits,
        send: Callable[[EndpointListChanged, int], None],
    ) -> None:
        """Creates an exchange that has sent nothing.

        Args:
            source: Has the endpoint list of this process.
            limits: Limits on a list that is received.
            send: Sends a message and the descriptor of the list to all other processes.
        """
        self._source = source
        self._limits = limits
        self._send = send
        self._timer: asyncio.TimerHandle | None = None

    def list_changed(self) -> None:
        """Sends the list soon, with all changes until then."""
        if self._timer is None:
            self._timer = asyncio.get_running_loop().call_later(_COALESCING_DELAY_S, self.send_list)

    def flush(self) -> None:
        """Sends the list now if it has changed since it was sent last."""
        if self._timer is not None:
            self.send_list()

    def send_list(self) -> None:
        """Sends the list now."""
        self.cancel()
        response = self._source.complete_list()
        if response is None:
            return
        try:
            descriptor = os.memfd_create("endpoint-list", os.MFD_CLOEXEC)
        except OSError:
            return  # no memory or no descriptor; the other processes have their own watch
        try:
            with open(descriptor, "wb", closefd=False) as file:
                file.write(encode_endpoint_list(response))
            self._send(EndpointListChanged(response.version, self._source.discovery_address), descriptor)
        except OSError:
            pass
        finally:
            os.close(descriptor)

    def received(self, message: EndpointListChanged, descriptor: int) -> None:
        """Applies the list of another process if it is newer, and from the same discovery server."""
        source = self._source
        if message.discovery != source.discovery_address or not source.is_newer(message.version):
            return
        try:
            body = os.pread(descriptor, self._limits.max_bytes, 0)
            response = decode_endpoint_list(body, self._limits)
        except (OSError, DiscoveryError):
            return
        source.sibling_list_received(response)

    def cancel(self) -> None:
        """Cancels the sending that is due."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
