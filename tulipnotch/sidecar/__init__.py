"""The real sidecar: it puts the decisions on real sockets."""
