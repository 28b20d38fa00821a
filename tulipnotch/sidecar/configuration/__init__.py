"""The configuration file of a sidecar: how it is read, validated and reloaded."""
