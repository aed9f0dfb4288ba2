"""Test doubles of the platform, the endpoints and the callers."""
