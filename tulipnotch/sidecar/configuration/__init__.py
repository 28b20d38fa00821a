"""The configuration of one sidecar: reading it, and applying a new one."""
