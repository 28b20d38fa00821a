"""What operators use of one sidecar: the control endpoint and its client, telemetry and lifecycle."""
