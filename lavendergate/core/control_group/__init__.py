"""Forming the control group and following its voters."""
