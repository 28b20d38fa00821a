"""Randomized soak test: real sidecar processes on loopback, overlapping faults and a rule checker."""
