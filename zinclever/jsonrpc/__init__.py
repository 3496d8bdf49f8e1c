"""JSON-RPC 2.0 over TCP: the server side for clients, the client side for endpoints, and the message codec."""
