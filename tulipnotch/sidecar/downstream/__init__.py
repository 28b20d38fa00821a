"""The side of the sidecar that serves clients: the listener, client connections and incoming requests."""
