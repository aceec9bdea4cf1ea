"""Pace of members: how much work a member is given, from how it answers.

A member that has just started, recovered or been promoted, or that fails a
part of its statements, is given less than its share until its answers are
good again.
"""
