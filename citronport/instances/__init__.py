"""The peer `other entry instance`: forwarding and shared state."""
