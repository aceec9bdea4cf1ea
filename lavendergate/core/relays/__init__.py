"""Home proxies, which hold the connections to members for all proxies.

If there are more proxies than a member accepts connections, a few proxies near
the member hold all of them, and the others pass statements on.
"""
