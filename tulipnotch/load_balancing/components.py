"""The components of one balancer: built once, and updated together on new settings or endpoint lists."""

from __future__ import annotations

from tulipnotch.load_balancing.admission import concurrency_limit
from tulipnotch.load_balancing.admission.admission_control import AdmissionControl
from tulipnotch.load_balancing.admission.concurrency_limit import ConcurrencyLimit
from tulipnotch.load_balancing.context import Context
from tulipnotch.load_balancing.endpoints.discovery_polling import DiscoveryPolling
from tulipnotch.load_balancing.endpoints.endpoint_list import EndpointList
from tulipnotch.load_balancing.events import (
    EndpointsUpdated,
    EndpointUpdateKind,
    Event,
    ProcessCountChanged,
    ServiceLevelChanged,
    SettingsChanged,
)
from tulipnotch.load_balancing.health.attempt_feedback import AttemptFeedback
from tulipnotch.load_balancing.health.idle_connections import IdleConnections
from tulipnotch.load_balancing.health.outlier_detection import OutlierDetection
from tulipnotch.load_balancing.metrics.cost_estimates import ClassCosts, MeanWork
from tulipnotch.load_balancing.metrics.latency import Latency
from tulipnotch.load_balancing.metrics.load import Load
from tulipnotch.load_balancing.metrics.response_times import ResponseTimes
from tulipnotch.load_balancing.retries.attempt_timeouts import AttemptTimeouts
from tulipnotch.load_balancing.retries.retry_policy import RetryPolicy
from tulipnotch.load_balancing.selection.best_of_k import Selection
from tulipnotch.load_balancing.selection.locality_weights import LocalityWeights
from tulipnotch.load_balancing.settings import Settings
from tulipnotch.load_balancing.slow_start.warm_capacity import WarmCapacity
from tulipnotch.load_balancing.slow_start.warm_up_budget import SlowStart
from tulipnotch.load_balancing.timer_queue import TimerQueue


class Components:
    """Holds all components that make decisions for one balancer, or keep state for these decisions."""

    def __init__(self, settings: Settings, seed: int) -> None:
        """Creates all components; `seed` determines all random numbers."""
        context = self.context = Context(settings, seed)
        timers = self.timers = TimerQueue()
        load = self.load = Load(context)
        latency = self.latency = Latency(load)
        response_times = self.response_times = ResponseTimes(load, concurrency_limit.TARGET_FRACTION)
        limit = self.concurrency_limit = ConcurrencyLimit(context, load, response_times)
        idle_connections = self.idle_connections = IdleConnections(context)
        capacity = self.warm_capacity = WarmCapacity(context, load)
        slow_start = self.slow_start = SlowStart(context, capacity)
        outliers = self.outlier_detection = OutlierDetection(
            context, load, capacity, slow_start, idle_connections
        )
        localities = self.locality_weights = LocalityWeights(context, response_times, limit)
        selection = self.selection = Selection(context, load, localities, slow_start, outliers)
        self.class_costs = ClassCosts()
        self.mean_work = MeanWork()
        self.admission = AdmissionControl(context, load, latency, limit)
        self.retries = RetryPolicy(context)
        self.attempt_timeouts = AttemptTimeouts(context, timers, latency, limit, idle_connections, outliers)
        self.feedback = AttemptFeedback(context, load, latency, response_times, limit, outliers, selection)
        self.discovery_polling = DiscoveryPolling(context, timers)
        self.endpoint_list = EndpointList(context, slow_start, idle_connections, outliers)

    def apply_update(self, event: Event) -> None:
        """Applies an event that does not belong to a single request."""
        match event:
            case EndpointsUpdated():
                self.endpoints_updated(event)
            case SettingsChanged():
                self.settings_changed(event.settings)
            case ProcessCountChanged():
                self.slow_start.process_count_changed(event.process_count, is_new=event.is_new)
            case ServiceLevelChanged():
                self.admission.level_changed(event)
            case _:
                pass  # events of health checks and peer messages; the balancer sends neither

    def settings_changed(self, settings: Settings) -> None:
        """Applies new settings; keeps the measurements of endpoints, and of classes that still exist."""
        self.context.apply_settings(settings)
        self.latency.retain_classes(self.context.classes)
        self.class_costs.retain_classes(self.context.classes)
        if "util" not in settings.report_columns:
            self.response_times.reset_cpu_utilization()
        self.admission.settings_changed()
        self.warm_capacity.settings_changed()
        self.locality_weights.settings_changed()
        self.selection.settings_changed()

    def endpoints_updated(self, event: EndpointsUpdated) -> None:
        """Applies an update of the endpoint list, or schedules the next poll if a poll for it failed."""
        if event.kind is EndpointUpdateKind.FAILED:
            self.discovery_polling.poll_failed()
            return
        if event.kind is not EndpointUpdateKind.CACHED:
            self.discovery_polling.endpoints_received()
        self.endpoint_list.apply_update(event)
        self.locality_weights.endpoints_updated()
        self.concurrency_limit.set_initial_limit()
