"""The peer `endpoint`: engines and plain services."""
