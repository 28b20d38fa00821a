"""The observer of an exchange whose caller awaits the complete response."""

from __future__ import annotations

import asyncio

from tulipnotch.sidecar.http1.messages import Response
from tulipnotch.sidecar.upstream.exchange import ExchangeFailure, ResponseConsumer


class BufferedExchangeObserver:
    """Observes one exchange, and provides its result as a future.

    Attributes:
        result: The response, or why there is none; done once the exchange has ended.  It may be cancelled.
    """

    streams_responses = False

    def __init__(self) -> None:
        """Creates the pending future; requires a running event loop."""
        self.result: asyncio.Future[Response | ExchangeFailure] = asyncio.get_running_loop().create_future()

    def may_write(self) -> bool:
        """Returns True: every write is allowed."""
        return True

    def request_written(self) -> None:
        """Does nothing."""

    def response_began(self) -> None:
        """Does nothing."""

    def response_stalled(self, *, has_head: bool) -> bool:  # noqa: ARG002 - nothing is streamed
        """Returns False: the caller asks again."""
        return False

    def response_started(self, _head: Response) -> ResponseConsumer | None:
        """Returns None; not called, since `streams_responses` is false."""
        return None

    def exchange_ended(self, result: Response | ExchangeFailure) -> None:
        """Sets the result, unless the future was cancelled."""
        if not self.result.done():
            self.result.set_result(result)
