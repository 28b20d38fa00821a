"""Requests from their arrival to their final response, and the invariants checked on the way."""
