"""The endpoints that a balancer knows: their records, the list of them, and when it is polled."""
