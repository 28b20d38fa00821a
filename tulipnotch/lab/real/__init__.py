"""Scenarios in real time: test servers on loopback sockets, real sidecar processes, and a load generator."""
