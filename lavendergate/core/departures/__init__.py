"""Starts of members that have ended, and the commits that they may have held.

A commit is acknowledged once enough replicas have received it. A replica that
ended takes its log along, so a promotion needs a proof that the candidate has
every commit that the ended replica can have confirmed.
"""
