"""Connections to servers, their pool, and the requests that are sent on them."""
