"""A laboratory that plays whole deployments in virtual time; the gateway does not import it."""
