"""
Simulate a fleet of gateways, stage pools and engines in virtual time.

The simulated gateways run the production code for admission, schedulers,
stage graphs, membership and engine selection.  The network, the instances
and the callers are simulated.  A simulated day of 34 s takes a few seconds
and opens no sockets.
"""
