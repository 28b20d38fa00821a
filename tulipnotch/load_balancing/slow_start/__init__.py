"""Slow start: how much load an endpoint gets while it warms up."""
