"""The decisions of a sidecar balancer, by best-of-k with redraw: events in, actions out."""

from tulipnotch.decisions.balancer import Balancer
from tulipnotch.decisions.interface import Settings

__all__ = ["Balancer", "Settings"]
