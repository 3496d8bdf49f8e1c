"""Discrete-event simulation of a fleet: many instances of the unmodified sidecar program in a modelled environment.

A *day* is one scenario: the fleet, its load, the faults that are injected and a seed. :mod:`~zinclever.sim.model`
defines days as data, :mod:`~zinclever.sim.days` generates them from seeds and :mod:`~zinclever.sim.world` runs one. The
upstream servers, service discovery and the clients are modelled in :mod:`~zinclever.sim.pages`,
:mod:`~zinclever.sim.listing` and :mod:`~zinclever.sim.applications`; the program runs in
:mod:`~zinclever.sim.sidecars`. Traffic is counted by its receivers, not by its senders.
"""
