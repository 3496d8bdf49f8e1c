"""Days of a whole fleet in simulated time: the unchanged program many times over, and a model of all that is round it.

:mod:`~zinclever.sim.model` says what a world is made of and what goes wrong in it, as data; :mod:`~zinclever.sim.days`
draws such days from seeds; :mod:`~zinclever.sim.world` plays one. Page servers, discovery and clients are of
:mod:`~zinclever.sim.pages`, :mod:`~zinclever.sim.listing` and :mod:`~zinclever.sim.applications`; the program runs in
:mod:`~zinclever.sim.sidecars`. Whatever is counted is counted at those who were sent something.
"""
