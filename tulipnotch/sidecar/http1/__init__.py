"""HTTP/1.1 messages in both directions; the parsing itself is done by httptools."""
