"""Fault soak: real gateway processes on loopback, with peers and faults drawn at random from a seed."""
