"""Files that people write: the operator file and scenarios, both checked by one checker."""
