"""Admission control: which requests are accepted under load."""
