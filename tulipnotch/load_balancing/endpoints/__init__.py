"""Endpoints that a balancer knows: their records, the endpoint list, and the schedule of polls for it."""
