"""HTTP interface for callers: entry lookup, submissions, responses."""
