"""The protocol-neutral part of the sidecar: the ledger of requests, timers, pools, descriptors.

Nothing here names a protocol. Data flows one way: a front reads requests and hands them to the
:class:`~zinclever.core.dispatcher.Dispatcher`, which asks its balancer and starts attempts on a wire.
"""
