"""What this process shares with the others of its sidecar: request ids, the endpoint list, warm-up budgets.

During an upgrade the previous process and the new one count as one sidecar: an id that one of them has
accepted must not be accepted by the other, and what one has received from discovery counts for both.  While
there is only one process, it waits for another at the channel's address, and nothing else here runs.
"""

from __future__ import annotations

import asyncio
import os
import socket
from collections.abc import Callable

from tulipnotch.load_balancing.events import ProcessCountChanged
from tulipnotch.sidecar.discovery.endpoint_list_codec import EndpointListLimits
from tulipnotch.sidecar.event_queue import EventQueue
from tulipnotch.sidecar.handover.channel import HandoverChannel, Offer
from tulipnotch.sidecar.handover.connection import ReceivedMessage
from tulipnotch.sidecar.handover.endpoint_lists import EndpointListExchange, EndpointListSource
from tulipnotch.sidecar.handover.id_journal import IdJournal
from tulipnotch.sidecar.handover.journal_memory import JournalError, JournalMemory
from tulipnotch.sidecar.handover.messages import EndpointListChanged, Hello, Welcome
from tulipnotch.sidecar.requests.context import SidecarContext
from tulipnotch.sidecar.requests.request_registry import RequestRegistry
from tulipnotch.sidecar.requests.shared_ids import UnknownIds

# Time after the end of the last other process for which the journal is kept: a further one may still be
# about to connect, since the process that it was connected to has ended.
_JOURNAL_LINGER_S = 5.0
# Time for which ids count as unknown where another process does not answer; the platform has killed it by
# then.
_UNRESPONSIVE_S = 5.0
_UNRESPONSIVE_PROCESS_COUNT = 2


class Handover:
    """Shares the state of this process from `start` to `close` (`ChannelUser`)."""

    def __init__(
        self,
        listener: socket.socket,
        context: SidecarContext,
        registry: RequestRegistry,
        events: EventQueue,
        endpoint_lists: EndpointListSource,
        list_limits: EndpointListLimits,
    ) -> None:
        """Shares nothing before `start`.

        Args:
            listener: The inherited listening socket, which the handover owns from now on.
            context: The clock, the log and the metrics.
            registry: Has the ids of this process, and is given those of the others.
            events: Takes the number of processes, by which the balancer divides its budgets.
            endpoint_lists: Has the endpoint list of this process.
            list_limits: Limits on the endpoint list of another process.
        """
        self._context = context
        self._registry = registry
        self._events = events
        self._listener = listener
        self._channel = HandoverChannel(listener, self)
        self._lists = EndpointListExchange(
            endpoint_lists,
            list_limits,
            lambda message, descriptor: self._channel.broadcast(message, [descriptor]),
        )
        self._journal: IdJournal | None = None
        self._timer: asyncio.TimerHandle | None = None  # ends the journal, or the time of unknown ids
        self._is_new = True  # whether this process has not accepted any request yet

    def start(self) -> None:
        """Looks for other processes; `settled` is set once it is known whether there are any."""
        self._channel.start()

    @property
    def settled(self) -> asyncio.Event:
        """Set once this process is known to be the only one, or shares its state with the others."""
        return self._channel.settled

    def begin_accepting(self) -> None:
        """Has to be called before this process accepts clients, whether or not `settled` is set.

        If it is not, another process does not answer.  Requests that must not be executed twice are then
        rejected until it answers, or has ended by the rules of the platform.
        """
        self._is_new = False
        if not self.settled.is_set():
            self._context.log("sibling_unresponsive", rejected_s=_UNRESPONSIVE_S)
            self._registry.shared_ids = UnknownIds()
            self._events.post(ProcessCountChanged(_UNRESPONSIVE_PROCESS_COUNT, is_new=True))
            self._set_timer(_UNRESPONSIVE_S, self._forget_unresponsive)

    def endpoint_list_changed(self) -> None:
        """Sends the endpoint list to the other processes, if there are any."""
        if self._channel.has_siblings:
            self._lists.list_changed()

    def close(self) -> None:
        """Stops sharing; all responses of this process have ended."""
        self._lists.flush()
        self._channel.close()
        self._cancel_timer()
        if self._journal is not None:
            self._journal.close()
        self._listener.close()

    # Implementation of `ChannelUser`

    def hello(self) -> Hello:
        """Returns the journal that this process uses, if any."""
        journal = self._journal
        return Hello() if journal is None or journal.is_closed else Hello(journal.identity, journal.owner)

    def offer_journal(self, hello: Hello) -> Offer:
        """Returns the journal for a process that joins; from now on this process uses it too.

        Raises:
            OSError: The system has no memory or descriptor for a journal.
            JournalError: The journal can't be used.
        """
        journal = self._journal
        if journal is None or journal.is_closed:
            journal = IdJournal.create()
            self._use_journal(journal)
        owner = hello.owner if hello.journal == journal.identity else journal.add_owner()
        return Offer(Welcome(journal.owner, owner), journal.descriptor)

    def joined(self, received: ReceivedMessage, welcome: Welcome) -> None:
        """Uses the journal of the process that has answered.

        Raises:
            JournalError: It can't be used.
        """
        if len(received.descriptors) < 2:
            raise JournalError("no journal came with the welcome")
        current = self._journal
        if (
            current is None
            or current.is_closed
            or os.fstat(received.descriptors[0]).st_ino != current.identity
        ):
            descriptor = received.take_descriptor()
            try:
                journal = IdJournal(JournalMemory(descriptor), welcome.owner)
            except JournalError:
                os.close(descriptor)
                raise
            self._use_journal(journal)
        self._cancel_timer()

    def _use_journal(self, journal: IdJournal) -> None:
        """Shares ids through this journal, to which those of this process are added."""
        previous, self._journal = self._journal, journal
        if previous is not None:
            previous.close()
        registry = self._registry
        journal.join(registry.claims(), registry.retained_ids(self._context.clock.now()), previous)
        registry.shared_ids = journal

    def message_received(self, received: ReceivedMessage) -> None:
        """Applies the endpoint list of another process."""
        if isinstance(received.message, EndpointListChanged) and received.descriptors:
            self._lists.received(received.message, received.descriptors[0])

    def sibling_ended(self, owner: int) -> None:
        """Retains the ids that another process had in use at its end."""
        if self._journal is not None:
            self._journal.owner_ended(owner)

    def process_count_changed(self, count: int) -> None:
        """Divides the budgets anew, and sends the endpoint list to a process that has joined."""
        self._events.post(ProcessCountChanged(count, is_new=self._is_new))
        if count > 1:
            self._cancel_timer()
            if not self._is_new:  # a new process has nothing that the others don't have
                self._lists.send_list()
        elif self._journal is not None:
            self._set_timer(_JOURNAL_LINGER_S, self._close_journal)

    def channel_failed(self, fault: str) -> None:
        """Logs why this process can share nothing."""
        self._context.log("handover_unavailable", fault=fault)

    # Ends of sharing

    def _close_journal(self) -> None:
        """Ends the use of the journal; ids of the other processes stay in use as long as they may matter."""
        if self._journal is not None:
            remaining_us = self._journal.close()
            self._set_timer(remaining_us / 1e6, self._forget_journal)

    def _forget_journal(self) -> None:
        self._journal = None
        self._registry.shared_ids = None

    def _forget_unresponsive(self) -> None:
        if isinstance(self._registry.shared_ids, UnknownIds):
            self._registry.shared_ids = None
            self._events.post(ProcessCountChanged(1, is_new=False))

    def _set_timer(self, delay_s: float, callback: Callable[[], None]) -> None:
        self._cancel_timer()
        self._timer = asyncio.get_running_loop().call_later(delay_s, callback)

    def _cancel_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
