"""Tests; the folder structure mirrors that of the source."""
