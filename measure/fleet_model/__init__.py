"""
Model a fleet of gateways, stage pools and engines in virtual time.

The gateways decide with the very code that serves: admission, gates, stage
graphs, membership and the choice of engines.  Networks, instances and callers
are the model's.  A run of 34 s takes a few seconds and no sockets.
"""
