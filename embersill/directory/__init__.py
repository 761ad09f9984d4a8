"""The list service: keeps the list of backends and their lifecycles. Gateways read it over HTTP only;
the gateway never imports this package.
"""
