"""Relay mode: each instance routes requests to endpoints by itself."""
