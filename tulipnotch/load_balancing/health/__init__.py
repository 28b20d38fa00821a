"""Which endpoints are ejected, and what the end of an attempt says of one."""
