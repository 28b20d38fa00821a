"""Files that people write: the operator file and scenarios, checked whole by one checker."""
