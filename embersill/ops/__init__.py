"""Operators' commands: procedures over the whole fleet, each a pure state machine apart from its calls."""
