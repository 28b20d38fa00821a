"""The configuration file of a sidecar: reading, validation and reload."""
