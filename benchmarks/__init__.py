"""Measurements of the program; none of them runs in CI."""
