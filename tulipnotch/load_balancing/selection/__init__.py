"""Selection: which endpoint an attempt goes to."""
