"""Endpoint health: which endpoints are ejected, and what the end of an attempt tells about its endpoint."""
