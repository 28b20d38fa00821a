"""A laboratory: a model of what the sidecar serves, in virtual and in real time."""
