"""The operators' side of one sidecar: its control endpoint, metrics and lifecycle."""
