"""Which requests are accepted under load."""
