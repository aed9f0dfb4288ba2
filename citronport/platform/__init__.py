"""Names, data formats and calls of the platform; holds no decisions."""
