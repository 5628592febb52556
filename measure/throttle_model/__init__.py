"""Play gateways that send to instances which warm up, in virtual time."""
