"""Measurements that the decisions are based on."""
