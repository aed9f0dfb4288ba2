"""Tests of citronport.endpoints."""
