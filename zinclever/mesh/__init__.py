"""The service mesh, built around the load balancer of the standalone sidecar.

Packages, each importing only from those before it: :mod:`.transport` (messages and connections), :mod:`.storage` (files
on disk), :mod:`.configuration` (the operators' configuration), :mod:`.membership` (gossip and failure detection),
:mod:`.consensus` (replication of the configuration), :mod:`.dataplane` (request forwarding), :mod:`.control_api` (the
HTTP API) and :mod:`.roles`, the processes assembled from these. :mod:`.model` simulates them, and :mod:`.operator_cli`
holds the operators' commands.
"""
