"""An instance that sends requests to endpoints by itself."""
