"""The peer `platform`: catalogue and instance list."""
