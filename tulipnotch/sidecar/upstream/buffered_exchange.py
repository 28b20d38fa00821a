"""The observer of an exchange whose response is awaited, and buffered until it is complete."""

from __future__ import annotations

import asyncio

from tulipnotch.sidecar.http1.messages import Response
from tulipnotch.sidecar.upstream.exchange import ExchangeFailure, ResponseConsumer


class BufferedExchangeObserver:
    """Observes one exchange.

    Attributes:
        result: Done once the exchange has ended; may be cancelled.
    """

    streams_responses = False

    def __init__(self) -> None:
        """Begin without a result; needs a running event loop."""
        self.result: asyncio.Future[Response | ExchangeFailure] = asyncio.get_running_loop().create_future()

    def may_write(self) -> bool:
        """Always."""
        return True

    def request_written(self) -> None:
        """Ignored."""

    def response_started(self, _head: Response) -> ResponseConsumer | None:
        """Never called, since responses are not streamed."""
        return None

    def exchange_ended(self, result: Response | ExchangeFailure) -> None:
        """Set the result."""
        if not self.result.done():
            self.result.set_result(result)
