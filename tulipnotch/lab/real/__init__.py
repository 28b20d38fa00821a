"""A scenario in real time: stand-ins on loopback sockets, real sidecar processes, an open-loop generator."""
