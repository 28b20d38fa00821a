"""The laboratory: simulates the platform around the sidecar, in virtual and in real time."""
