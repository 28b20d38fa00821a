"""Files that people write, the operator file and scenarios, and the validation that both share."""
