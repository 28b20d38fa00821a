"""Operation of a sidecar: the control endpoint and its client, metrics, and the lifecycle phase."""
