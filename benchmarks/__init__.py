"""Measurements of the program, which do not run in CI."""
