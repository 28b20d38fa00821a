"""tulipnotch: a client-side load-balancing sidecar."""

__version__ = "0.2.0"
