"""Whether, when and where a request may be attempted again."""
