"""Leases on the leadership of primaries.

A primary that a promotion replaced may consider itself the primary until it is
demoted, so its own answers do not prove that it still leads. The control leader
therefore leases the present primary of each service to the proxies, and orders
no promotion of a service before all its leases have expired.
"""
