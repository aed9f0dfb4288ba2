"""Communication with endpoints: inference engines and plain services."""
