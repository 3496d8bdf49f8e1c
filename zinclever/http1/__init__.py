"""HTTP/1.1: the application's side, attempts on endpoints, and the connections that carry them."""
