"""Play in virtual time how a fleet of gateways follows the store."""
