"""Aggregator: sums the gateways' counter calls by name and forwards one call per name and window.

A separate program that the gateway never imports. See docs/aggregation.md.
"""
