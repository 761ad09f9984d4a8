"""A laboratory: whole deployments in virtual time. The gateway never loads it."""
