"""Aggregated accounting: sums the gateways' counter calls by name and forwards one call a name and window.

A program of its own; the gateway never imports it. See docs/aggregation.md.
"""
