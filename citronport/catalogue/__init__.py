"""The product's own reader of the published catalogue and list."""
