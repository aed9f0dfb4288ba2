"""The peer `caller`: address lookup, submission, answers."""
