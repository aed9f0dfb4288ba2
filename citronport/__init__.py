"""A request scheduler for unlike engines."""
