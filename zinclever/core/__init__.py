"""The protocol-neutral part of the sidecar: request dispatching, timers, connection pools and descriptor limits.

Nothing here depends on a protocol. A front parses requests and passes them to the
:class:`~zinclever.core.dispatcher.Dispatcher`, which consults its balancer and starts attempts on a wire.
"""
