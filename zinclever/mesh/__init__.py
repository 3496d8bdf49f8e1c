"""The service mesh built round the sidecar in service.

Packages, each importing only from those before it: :mod:`.transport` (messages and links), :mod:`.storage` (files on
disk), :mod:`.configuration` (operators' configurations), :mod:`.endpoint_list` (gossip and failure detection),
:mod:`.consensus` (replication of the configuration), :mod:`.dataplane` (forwarding), :mod:`.control_api` (HTTP calls)
and :mod:`.roles`, which puts them together. :mod:`.model` simulates them, :mod:`.operator_cli` holds the commands.
"""
