"""Which endpoint an attempt goes to."""
