"""The peer `operator`: status, metrics, drain."""
