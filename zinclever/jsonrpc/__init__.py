"""JSON-RPC 2.0 over TCP: the clients' side, calls on endpoints, and the texts that both are made of."""
