"""Load balancing decisions of the sidecar, by best of k with redraw: takes events and returns actions."""

from tulipnotch.load_balancing.balancer import Balancer
from tulipnotch.load_balancing.settings import Settings

__all__ = ["Balancer", "Settings"]
