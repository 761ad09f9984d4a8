"""Fault soak: real gateway processes on loopback, with peers that misbehave as a seed draws it."""
