"""Small stand-ins for the platform, endpoints and callers."""
