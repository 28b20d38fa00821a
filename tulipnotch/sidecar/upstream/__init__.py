"""The servers' side: connections, the pool of them, and one exchange at a time on each."""
