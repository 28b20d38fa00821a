"""Retries: whether, when and at which endpoints a request may be attempted again."""
