"""Request forwarding: egress for clients, attempts sent to other sidecars, ingress in front of the endpoint."""
