"""A randomized soak: real sidecar processes on loopback, faults that overlap, and the rules as its oracle."""
