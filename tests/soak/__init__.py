"""A randomized soak: real sidecar processes on loopback, faults that overlap, and a checker of the rules."""
