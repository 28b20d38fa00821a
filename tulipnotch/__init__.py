"""tulipnotch: a client-side balancing sidecar."""

__version__ = "0.2.0"
