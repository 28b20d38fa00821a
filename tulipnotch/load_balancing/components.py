"""The parts of one balancer: made once, and updated together for new settings and lists."""

from __future__ import annotations

from tulipnotch.load_balancing.admission import concurrency_limit
from tulipnotch.load_balancing.admission.admission_control import AdmissionControl
from tulipnotch.load_balancing.admission.concurrency_limit import ConcurrencyLimit
from tulipnotch.load_balancing.context import Context
from tulipnotch.load_balancing.endpoints.discovery_polling import DiscoveryPolling
from tulipnotch.load_balancing.endpoints.endpoint_list import EndpointList
from tulipnotch.load_balancing.events import EndpointsUpdated, EndpointUpdateKind
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
    """Everything that decides for one balancer, or keeps what the decisions need."""

    def __init__(self, settings: Settings, seed: int) -> None:
        context = self.context = Context(settings, seed)
        agenda = self.timers = TimerQueue()
        load = self.load = Load(context)
        latency = self.latency = Latency(load)
        answers = self.response_times = ResponseTimes(load, concurrency_limit.LEVEL)
        limit = self.concurrency_limit = ConcurrencyLimit(context, load, answers)
        idle = self.idle_connections = IdleConnections(context)
        capacity = self.warm_capacity = WarmCapacity(context, load)
        slow_start = self.slow_start = SlowStart(context, capacity)
        outliers = self.outlier_detection = OutlierDetection(context, load, capacity, slow_start, idle)
        zones = self.locality_weights = LocalityWeights(context, answers, limit)
        selection = self.selection = Selection(context, load, zones, slow_start, outliers)
        self.class_costs = ClassCosts()
        self.mean_work = MeanWork()
        self.admission = AdmissionControl(context, load, latency, limit)
        self.retries = RetryPolicy(context)
        self.attempt_timeouts = AttemptTimeouts(context, agenda, latency, limit, idle, outliers)
        self.feedback = AttemptFeedback(context, load, latency, answers, limit, outliers, selection)
        self.discovery_polling = DiscoveryPolling(context, agenda)
        self.endpoint_list = EndpointList(context, slow_start, idle, outliers)

    def settings_changed(self, settings: Settings) -> None:
        """Go by new settings; what was learnt of servers stays, and of classes that are still there."""
        self.context.apply(settings)
        self.latency.keep_classes(self.context.classes)
        self.class_costs.keep_classes(self.context.classes)
        if "util" not in settings.report_columns:
            self.response_times.forget_cores()
        self.admission.settings_changed()
        self.warm_capacity.settings_changed()
        self.locality_weights.settings_changed()
        self.selection.settings_changed()

    def servers_listed(self, event: EndpointsUpdated) -> None:
        """Take over a list, a change of it, or the word that a call for it failed."""
        if event.kind is EndpointUpdateKind.FAILED:
            self.discovery_polling.call_failed()
            return
        if event.kind is not EndpointUpdateKind.CACHED:
            self.discovery_polling.list_received()
        self.endpoint_list.apply(event)
        self.locality_weights.servers_listed()
        self.concurrency_limit.start()
