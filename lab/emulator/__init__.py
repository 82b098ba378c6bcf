"""An emulator: the cores of the nodes that users run, in virtual time.

Balancers and agents are those of `cumindrift.steering`, unchanged, and speak
the frames that they send in production. Clients, routers, targets, links and
the store are models. One process plays a minute of a small deployment in
seconds. See docs/EMULATOR.md.
"""
