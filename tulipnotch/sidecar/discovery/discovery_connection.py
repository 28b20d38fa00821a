"""A connection to discovery, which carries one call at a time and is reopened when it has ended."""

from __future__ import annotations

import asyncio

from tulipnotch.sidecar.addresses import Address
from tulipnotch.sidecar.discovery.endpoint_list_codec import (
    DiscoveryError,
    DiscoveryFormatError,
    DiscoveryResponse,
    EndpointListLimits,
    decode_endpoint_list,
)
from tulipnotch.sidecar.discovery.poll_schedule import PollSchedule
from tulipnotch.sidecar.http1.messages import Request, Response
from tulipnotch.sidecar.http1.response_reader import ResponseReader
from tulipnotch.sidecar.upstream.buffered_exchange import BufferedExchangeObserver
from tulipnotch.sidecar.upstream.connection import UpstreamConnection
from tulipnotch.sidecar.upstream.exchange import ExchangeFailure

_PATH = "/catalog/members"
_FAILURE_TEXTS = {
    ExchangeFailure.UNWRITTEN: "the connection was lost before the request was written",
    ExchangeFailure.CONNECTION_LOST: "the connection was lost before the response was complete",
    ExchangeFailure.MALFORMED_RESPONSE: "the response is not valid HTTP, is too large or stalled",
}


class DiscoveryCallError(DiscoveryError):
    """A call to discovery got no response, or none that can be used; the text names the cause."""


class DiscoveryDownError(DiscoveryCallError):
    """Discovery has refused the connection: no process listens at its address."""


class DiscoveryConnection:
    """Carries calls to discovery one after another; reconnects for a call if the connection has ended."""

    def __init__(
        self,
        address: Address,
        connect_timeout_s: float,
        schedule: PollSchedule,
        list_limits: EndpointListLimits,
    ) -> None:
        """Prepares for calls, the first of which connects to `address` within `connect_timeout_s`."""
        self._address = address
        self._connect_timeout_s = connect_timeout_s
        self._schedule = schedule
        self._list_limits = list_limits
        self._connection: UpstreamConnection | None = None

    def close(self) -> None:
        """Closes the connection; a call in flight has to be cancelled by its caller."""
        if self._connection is not None:
            self._connection.close()

    @property
    def has_response_bytes(self) -> bool:
        """Whether a response has arrived in part, or waits to be read."""
        return self._connection is not None and self._connection.has_response_bytes

    async def call(self, after_version: int | None, wait_ms: int) -> DiscoveryResponse:
        """Calls discovery once; a response may come at any time, so the caller limits how long it waits.

        Args:
            after_version: The version since which changes are requested; None: the complete list.
            wait_ms: How long discovery may wait for a change before it responds; 0: not at all.

        Raises:
            DiscoveryCallError: There is no connection in time, or no response that can be used.
        """
        target = _PATH if after_version is None else f"{_PATH}?after={after_version}&wait_ms={wait_ms}"
        try:
            response = await self._get(target.encode())
        except TimeoutError:
            raise DiscoveryCallError("no connection within the time limit") from None
        except ConnectionRefusedError as error:
            raise DiscoveryDownError(f"cannot connect: {error}") from None
        except OSError as error:
            raise DiscoveryCallError(f"cannot connect: {error}") from None
        if isinstance(response, ExchangeFailure):
            raise DiscoveryCallError(_FAILURE_TEXTS[response])
        if response.status != 200:
            raise DiscoveryCallError(f"the response has status {response.status}, not 200")
        try:
            return decode_endpoint_list(response.body, self._list_limits)
        except DiscoveryFormatError as error:
            raise DiscoveryCallError(f"the response is not a valid endpoint list: {error}") from None

    async def _get(self, target: bytes) -> Response | ExchangeFailure:
        if self._connection is None or not self._connection.is_usable():
            self.close()
            self._connection = await self._connect()
            if not self._connection.is_usable():
                # It ended before its first use, so the end of an exchange would never be reported.
                return ExchangeFailure.UNWRITTEN
        exchange = BufferedExchangeObserver()
        host = f"{self._address[0]}:{self._address[1]}".encode()
        self._connection.start_exchange(Request(b"GET", target, [(b"host", host)]), exchange)
        return await exchange.result

    async def _connect(self) -> UpstreamConnection:
        """Connects, with a second, concurrent attempt if the first takes long; uses the first to succeed.

        Without the second, an attempt whose packets are lost would be noticed only at its timeout.
        """
        attempts = {asyncio.create_task(self._connect_once())}
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                done, _ = await asyncio.wait(attempts, timeout=self._schedule.connection_attempt_delay_s)
                if not done:
                    attempts.add(asyncio.create_task(self._connect_once()))
                while True:
                    done, pending = await asyncio.wait(attempts, return_when=asyncio.FIRST_COMPLETED)
                    connected = [attempt for attempt in done if attempt.exception() is None]
                    if connected or not pending:
                        attempts.discard(first := (connected or list(done))[0])
                        return first.result()
                    attempts = pending
        finally:
            for attempt in attempts:
                attempt.cancel()
                attempt.add_done_callback(_close_unused)

    async def _connect_once(self) -> UpstreamConnection:
        def create_protocol() -> UpstreamConnection:
            return UpstreamConnection(
                ResponseReader(self._list_limits.max_bytes), None, self._schedule.read_timeout_s
            )

        _, connection = await asyncio.get_running_loop().create_connection(create_protocol, *self._address)
        return connection


def _close_unused(attempt: asyncio.Task[UpstreamConnection]) -> None:
    """Closes the connection of an attempt that succeeded after its cancellation or after another one."""
    if not attempt.cancelled() and attempt.exception() is None:
        attempt.result().close()
