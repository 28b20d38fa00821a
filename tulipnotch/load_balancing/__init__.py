"""The decisions of a sidecar balancer, by best-of-k with redraw: events in, actions out."""

from tulipnotch.load_balancing.balancer import Balancer
from tulipnotch.load_balancing.settings import Settings

__all__ = ["Balancer", "Settings"]
