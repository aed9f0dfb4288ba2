"""Tests of citronport.catalogue."""
