"""The sidecar: creates and connects its components, each of which owns its state."""

from __future__ import annotations

import socket
from collections.abc import Mapping
from dataclasses import replace
from typing import TYPE_CHECKING

from tulipnotch.load_balancing import Balancer, Settings
from tulipnotch.load_balancing.events import EndpointUpdateKind, PeerMessageReceived, SettingsChanged
from tulipnotch.load_balancing.settings import DiscoveryMode
from tulipnotch.sidecar.action_executor import ActionExecutor, ActionTargets
from tulipnotch.sidecar.clock import Clock
from tulipnotch.sidecar.configuration.configuration import Config
from tulipnotch.sidecar.control.endpoint import CommandHandler
from tulipnotch.sidecar.control.lifecycle import Lifecycle
from tulipnotch.sidecar.control.telemetry import Telemetry
from tulipnotch.sidecar.control_commands import ControlCommands
from tulipnotch.sidecar.descriptor_budget import (
    DescriptorBudget,
    create_client_limits,
    limit_control_connections,
)
from tulipnotch.sidecar.discovery.client import DiscoveryClient
from tulipnotch.sidecar.discovery.endpoint_list_codec import EndpointListLimits
from tulipnotch.sidecar.discovery.peers import PeerMessenger
from tulipnotch.sidecar.downstream.listener import bind_with_retry
from tulipnotch.sidecar.downstream.server import DownstreamServer
from tulipnotch.sidecar.endpoint_updates import EndpointListAccess, EndpointUpdateForwarder
from tulipnotch.sidecar.event_loop_monitor import EventLoopMonitor
from tulipnotch.sidecar.event_queue import EventQueue
from tulipnotch.sidecar.operator_file import OperatorOptions
from tulipnotch.sidecar.process_memory import BufferUsage, MemoryMonitor
from tulipnotch.sidecar.requests.attempts import AttemptStarter
from tulipnotch.sidecar.requests.context import SidecarContext
from tulipnotch.sidecar.requests.invariants import Invariant, InvariantChecker
from tulipnotch.sidecar.requests.request_receiver import RequestReceiver
from tulipnotch.sidecar.requests.request_registry import RequestRegistry
from tulipnotch.sidecar.requests.responses import ResponseSender
from tulipnotch.sidecar.requests.trace import Trace
from tulipnotch.sidecar.response_budget import ResponseBudget
from tulipnotch.sidecar.service_level_monitor import ServiceLevelMonitor, ServiceLevels
from tulipnotch.sidecar.shutdown import Shutdown
from tulipnotch.sidecar.startup import Startup
from tulipnotch.sidecar.upstream.pool import UpstreamPool

if TYPE_CHECKING:
    from tulipnotch.sidecar.handover.handover import Handover

# Changes that take effect only after a restart: fields of `Config`, and fields of its settings, each with the
# key of the configuration file.
_RESTART_ONLY_FIELDS = ("name", "listen", "control", "peer_listen", "seed", "memory_mb")
_RESTART_ONLY_SETTINGS = {"discovery_mode": "settings.discovery", "instance_index": "settings.me"}


class Sidecar:
    """One sidecar, from its start to its shutdown."""

    def __init__(self, config: Config, options: OperatorOptions) -> None:
        """Creates and connects the components; nothing listens before `start`.

        Args:
            config: The configuration; `reload` replaces it later.
            options: The options that operators have set, and the log.
        """
        self.config = config
        self.lifecycle = Lifecycle()
        self._response_budget = ResponseBudget()
        self._context = _create_context(config, options, self.lifecycle, self._response_budget)
        self.telemetry = self._context.telemetry
        self._upstream = self._context.upstream
        self._balancer = Balancer(config.settings, config.seed)
        self._create_request_handling()
        self._create_discovery()
        self.downstream = DownstreamServer(
            config.settings,
            create_client_limits(config, options.client_limits),
            self.lifecycle,
            RequestReceiver(self._context, self._registry, self._responses, self._events),
            self._context.invariants,
            self._response_budget,
        )
        # A reload does not change this limit, since the control endpoint is created only once.
        self.max_control_connections = limit_control_connections(
            config.sockets, options.control_limits.max_connections
        )
        self._budget = DescriptorBudget(
            config, self.max_control_connections, self.downstream, self._upstream, self._response_budget
        )
        self._create_action_executor()
        self._create_control_commands(options.service_levels)
        self._create_startup_and_shutdown()

    def _create_request_handling(self) -> None:
        self._registry = RequestRegistry()
        self._responses = ResponseSender(self._context, self._registry)
        self._events = EventQueue(self._balancer, self._context, self._registry, self._responses)

    def _create_discovery(self) -> None:
        config = self.config
        self._endpoint_updates = EndpointUpdateForwarder(self._context, self._events)
        self._discovery = DiscoveryClient(
            config.discovery,
            config.settings,
            config.known,
            observer=self._endpoint_updates,
            list_limits=EndpointListLimits.for_memory(config.memory_mb),
        )
        self._peers = PeerMessenger(
            config.peers,
            config.peers_all,
            config.settings.instance_index,
            lambda sender, payload: self._events.post(PeerMessageReceived(sender, payload)),
        )

    def _create_action_executor(self) -> None:
        attempts = AttemptStarter(
            self._context, self._registry, self._responses, self._balancer, self._events
        )
        targets = ActionTargets(attempts, self._responses, self._discovery, self._peers)
        self._executor = ActionExecutor(self._context, self._events, targets)
        self._events.set_executor(self._executor.execute)

    def _create_control_commands(self, service_levels: ServiceLevels | None) -> None:
        context = self._context
        self._level_monitor = (
            ServiceLevelMonitor(service_levels, context.clock, self._balancer, self._events, context.log)
            if service_levels
            else None
        )
        self._loop_monitor = EventLoopMonitor(self.buffer_usage, context.log)
        self._commands = ControlCommands(
            context,
            self.lifecycle,
            self._balancer,
            self._registry,
            self._level_monitor,
            self.buffer_usage,
            self._loop_monitor,
        )
        self._memory_monitor = MemoryMonitor(self.config.memory_mb, self.buffer_usage, context.log)

    def _create_startup_and_shutdown(self) -> None:
        self._startup = Startup(
            self._context.log,
            self.downstream,
            self._budget,
            self._discovery.settled,
            self._endpoint_updates.received,
        )
        self._shutdown = Shutdown(
            self._context, self.downstream, self._budget, self._registry, self._responses
        )
        # Set if this process has inherited its listening socket, which other processes have open too.
        self._handover: Handover | None = None

    async def start(self, inherited: socket.socket | None = None) -> None:
        """Starts with the cached endpoint list, and returns once clients can be served.

        Args:
            inherited: A socket on which the previous process listens; it accepts connections until this
                process does.

        Raises:
            OSError: An address cannot be bound.
        """
        handover = self._handover = None if inherited is None else self._create_handover(inherited)
        reserved = await bind_with_retry(self.config.listen) if inherited is None else None
        if self._context.settings.limits.may_send_peer_messages and self.config.peer_listen is not None:
            await self._peers.listen(self.config.peer_listen)
        self._upstream.endpoints_updated(self.config.known)
        self._events.post(self.config.known.to_event(EndpointUpdateKind.CACHED))
        self._discovery.start()
        if inherited is not None and handover is not None:
            handover.start()
            await self._startup.take_over(inherited, handover, self._context.settings.discovery_mode)
        elif reserved is not None:
            await self._startup.listen(reserved, self._context.settings.discovery_mode)
            if not self.config.known.endpoints:
                await self._startup.wait_for_endpoints()
        self._check_readiness_invariant()
        self.lifecycle.mark_started()
        self._memory_monitor.start()
        self._loop_monitor.start()
        if self._level_monitor is not None:
            self._level_monitor.start(self.lifecycle)

    def _create_handover(self, inherited: socket.socket) -> Handover:
        from tulipnotch.sidecar.handover.handover import Handover  # only an inherited listener needs it

        endpoint_lists = EndpointListAccess(
            self._context, self._events, self._balancer, self._discovery, self._endpoint_list_changed
        )
        self._endpoint_updates.on_change = self._endpoint_list_changed
        return Handover(
            inherited.dup(),
            self._context,
            self._registry,
            self._events,
            endpoint_lists,
            EndpointListLimits.for_memory(self.config.memory_mb),
        )

    def _endpoint_list_changed(self) -> None:
        if self._handover is not None:
            self._handover.endpoint_list_changed()

    def _check_readiness_invariant(self) -> None:
        """Checks that this process has waited for discovery, or that the cached list is sufficient."""
        needs_fresh_list = (
            self._handover is not None or self._context.settings.discovery_mode is DiscoveryMode.PUSHED
        )
        is_cache_sufficient = bool(self.config.known.endpoints) and not needs_fresh_list
        self._context.invariants.check(
            Invariant.READY_AFTER_DISCOVERY,
            self.config.name,
            holds=is_cache_sufficient or self._startup.has_discovery_result,
        )

    @property
    def open_requests(self) -> int:
        """Number of requests that have a pending response or an attempt in flight."""
        return len(self._registry)

    def buffer_usage(self) -> BufferUsage:
        """Returns what the connections of clients and servers hold now."""
        downstream, upstream = self.downstream, self._upstream
        return BufferUsage(
            request_bytes=downstream.buffered_request_bytes,
            response_bytes=upstream.buffered_bytes + downstream.unsent_response_bytes,
            clients=downstream.open_connections,
            servers=upstream.open_connections,
            paused_uploads=downstream.paused_upload_count,
        )

    def command_handlers(self) -> Mapping[str, CommandHandler]:
        """Returns the handlers of the control endpoint's commands, keyed by command name."""
        return self._commands.handlers()

    def reload(self, config: Config) -> None:
        """Applies the changes that need no restart, and logs the keys of those that do."""
        previous = self.config
        settings = self._context.settings
        restart_only = [key for key in _RESTART_ONLY_FIELDS if getattr(config, key) != getattr(previous, key)]
        restart_only_settings = [
            key for key in _RESTART_ONLY_SETTINGS if getattr(config.settings, key) != getattr(settings, key)
        ]
        new_settings = replace(
            config.settings, **{key: getattr(settings, key) for key in restart_only_settings}
        )
        self.config = replace(
            config, settings=new_settings, **{key: getattr(previous, key) for key in restart_only}
        )
        if config.discovery != previous.discovery:
            self._discovery.change_address(config.discovery)
        self._peers.set_addresses(config.peers, config.peers_all)
        self._budget.set_descriptors(config.sockets)
        if new_settings != settings:
            self._apply_settings(new_settings)
        restart_only += [_RESTART_ONLY_SETTINGS[key] for key in restart_only_settings]
        restart_note = f"; a restart is needed to apply {', '.join(restart_only)}" if restart_only else ""
        address = f"{config.discovery[0]}:{config.discovery[1]}"
        self._context.log("reloaded", discovery=address, waits=restart_note)

    def _apply_settings(self, settings: Settings) -> None:
        """Passes new settings to each component that uses settings, without yielding to the event loop."""
        self._context.settings = settings
        self.telemetry.add_classes(each.name for each in settings.classes)
        self._upstream.apply_settings(settings)
        self._discovery.apply_settings(settings)
        self.downstream.apply_settings(settings)
        self._events.post(SettingsChanged(settings))

    async def shut_down(self) -> None:
        """Responds to all requests that were read or still arrive, then closes everything."""
        await self._shutdown.run(hands_over_listener=self._handover is not None)
        if self._handover is not None:
            await self._discovery.read_arrived_responses()  # they count as announced to the other processes
        self.close()

    def close(self) -> None:
        """Closes all connections and listeners at once."""
        if self._handover is not None:
            self._handover.close()
        self._discovery.close()
        self._peers.close()
        self._upstream.close()
        self.downstream.close()
        self._memory_monitor.stop()
        self._loop_monitor.stop()


def _create_context(
    config: Config, options: OperatorOptions, lifecycle: Lifecycle, response_budget: ResponseBudget
) -> SidecarContext:
    log = options.log
    clock = Clock()
    trace = Trace(log) if options.traces_requests else None
    if trace is not None:
        lifecycle.add_listener(lambda: trace.phase_changed(lifecycle.phase.value))
    invariants = InvariantChecker(
        lambda invariant, about: log("invariant_broken", invariant=invariant.value, about=about)
    )
    return SidecarContext(
        config.settings,
        clock,
        UpstreamPool(clock, config.settings, invariants, response_budget),
        log=log,
        telemetry=Telemetry(each.name for each in config.settings.classes),
        invariants=invariants,
        trace=trace,
    )
