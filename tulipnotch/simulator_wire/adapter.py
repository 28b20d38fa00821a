"""Runs balancers behind the simulator's protocol: reads batches of messages and writes lines of actions.

All decisions are made by the balancers.  Run as `python -m tulipnotch.simulator_wire.adapter`.  Input that
violates the protocol ends the process with one line on standard error and exit code 2.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Iterable
from typing import Any, TextIO

from tulipnotch.load_balancing.balancer import Balancer
from tulipnotch.load_balancing.events import (
    EndpointDescription,
    EndpointsUpdated,
    EndpointUpdateKind,
    Event,
)
from tulipnotch.load_balancing.mapping_reader import SettingsError
from tulipnotch.simulator_wire.action_writer import write_action, write_done, write_internal_error
from tulipnotch.simulator_wire.event_reader import check_min_length, is_event_message, read_event
from tulipnotch.simulator_wire.field_readers import (
    WireError,
    read_choice,
    read_endpoint,
    read_integer,
    read_string,
)
from tulipnotch.simulator_wire.names import UPDATE_KINDS, InputMessage, settings_from_wire

_WIRE_ERROR_EXIT_CODE = 2


class BalancerHost:
    """Runs independent balancers, one per instance, and gives them the messages of each batch."""

    def __init__(self) -> None:
        """Creates a host without balancers and outside a batch."""
        self._balancers: dict[str, Balancer] = {}
        self._endpoint_lists: dict[int, list[EndpointDescription]] = {}
        self._now = 0  # time of the current batch (us)
        self._reply: list[str] | None = None  # lines of the reply to the current batch; None outside one

    def line_received(self, text: str) -> list[str] | None:
        """Handles one line; returns the lines of the reply at the end of a batch, and None before.

        Raises:
            WireError: The line violates the protocol.
        """
        message = _parse_message(text)
        name = message[0]
        if name == InputMessage.BATCH_BEGIN:
            if self._reply is not None:
                raise WireError(f"{InputMessage.BATCH_BEGIN} inside a batch that has not ended")
            check_min_length(message, 2)
            self._now, self._reply = read_integer(message[1]), []
            return None
        reply = self._reply
        if reply is None:
            raise WireError(f"message {name!r:.60} outside a batch")
        if name == InputMessage.BATCH_END:
            self._reply = None
            return [*reply, write_done()]
        self._message_received(name, message, reply)
        return None

    def _message_received(self, name: object, message: list[Any], reply: list[str]) -> None:
        if name == InputMessage.ENDPOINT_LIST:
            self._endpoint_list_received(message)
        elif name == InputMessage.INSTANCE_STARTED:
            self._instance_started(message)
        elif name == InputMessage.INSTANCE_STOPPED:
            instance, _ = self._find_balancer(message)
            del self._balancers[instance]
        elif name == InputMessage.ENDPOINTS_UPDATED:
            instance, balancer = self._find_balancer(message)
            self._handle_event(instance, balancer, self._read_endpoints_updated(message), reply)
        elif isinstance(name, str) and is_event_message(name):
            instance, balancer = self._find_balancer(message)
            self._handle_event(instance, balancer, read_event(name, message), reply)
        else:
            raise WireError(f"unknown message {name!r:.60}")

    def _endpoint_list_received(self, message: list[Any]) -> None:
        check_min_length(message, 3)
        if not isinstance(message[2], list):
            raise WireError(f"the entries of a {InputMessage.ENDPOINT_LIST} must be an array")
        self._endpoint_lists[read_integer(message[1])] = [read_endpoint(each) for each in message[2]]

    def _instance_started(self, message: list[Any]) -> None:
        check_min_length(message, 4)
        instance = read_string(message[1])
        try:
            self._balancers[instance] = Balancer(settings_from_wire(message[3]), read_integer(message[2]))
        except SettingsError as error:
            raise WireError(f"settings: {error}") from None

    def _find_balancer(self, message: list[Any]) -> tuple[str, Balancer]:
        check_min_length(message, 2)
        instance = read_string(message[1])
        balancer = self._balancers.get(instance)
        if balancer is None:
            raise WireError(f"{message[0]} for {instance!r:.60}, which has not been started")
        return instance, balancer

    def _read_endpoints_updated(self, message: list[Any]) -> EndpointsUpdated:
        check_min_length(message, 5)
        update_kind = read_choice(message[2], UPDATE_KINDS)
        if update_kind is EndpointUpdateKind.FAILED:
            return EndpointsUpdated(update_kind)
        endpoints = self._endpoint_lists.get(read_integer(message[3]))
        if endpoints is None:
            raise WireError(f"{message[0]} refers to endpoint list {message[3]}, which has not been sent")
        return EndpointsUpdated(update_kind, endpoints, read_integer(message[4]))

    def _handle_event(self, instance: str, balancer: Balancer, event: Event, reply: list[str]) -> None:
        try:
            actions = balancer.handle(self._now, event)
        except Exception as error:  # outermost handler: the protocol has a message for internal errors
            reply.append(write_internal_error(instance, error))
            return
        reply += [write_action(instance, action) for action in actions]


def _parse_message(text: str) -> list[Any]:
    try:
        message = json.loads(text)
    except (ValueError, RecursionError):
        raise WireError("the line is not valid JSON") from None
    if not isinstance(message, list) or not message:
        raise WireError("a message must be an array that starts with its name")
    return message


def run_adapter(lines: Iterable[str], output: TextIO, errors: TextIO) -> int:
    """Handles all lines; returns the exit code."""
    host = BalancerHost()
    for number, text in enumerate(lines, 1):
        try:
            reply = host.line_received(text)
        except WireError as error:
            errors.write(f"line {number}: {error}\n")
            return _WIRE_ERROR_EXIT_CODE
        if reply is not None:
            output.write("\n".join(reply) + "\n")
            output.flush()
    return 0


def main() -> int:
    """Handles standard input; returns the exit code."""
    sys.stdin.reconfigure(encoding="utf-8", errors="replace")  # type: ignore[union-attr]
    sys.stdout.reconfigure(encoding="utf-8", newline="\n")  # type: ignore[union-attr]
    return run_adapter(sys.stdin, sys.stdout, sys.stderr)


if __name__ == "__main__":
    sys.exit(main())
