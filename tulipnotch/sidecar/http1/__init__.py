"""Reading and encoding of HTTP/1.1 requests and responses; httptools does the parsing."""
