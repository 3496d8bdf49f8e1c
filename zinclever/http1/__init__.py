"""HTTP/1.1: connections of clients, attempts on endpoints, and the connections that carry these attempts."""
