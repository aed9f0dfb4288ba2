"""Client and store of the published catalogue and instance list."""
