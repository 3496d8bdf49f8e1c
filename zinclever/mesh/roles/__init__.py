"""The two roles of the program, sidecar and control node, and what they are put together from."""
