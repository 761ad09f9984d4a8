"""The list service: who serves, who drains, who is gone. The gateway reads it and never imports it."""
