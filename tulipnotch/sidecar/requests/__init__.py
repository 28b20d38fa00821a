"""Handles requests from their arrival to their final response, and checks invariants on the way."""
