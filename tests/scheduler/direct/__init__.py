"""Tests of citronport/scheduler/direct."""
