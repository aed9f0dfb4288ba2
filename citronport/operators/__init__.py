"""Interface for operators: status, metrics, readiness and drain."""
