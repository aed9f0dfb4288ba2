"""Communication between entry instances: forwarding and shared state."""
