"""Scale runs: what a fleet's size costs each role, measured on loopback with many gateways per process."""
