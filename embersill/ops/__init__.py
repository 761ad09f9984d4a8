"""Commands for operators: drain, undrain and status of backends, gateways and machines."""
