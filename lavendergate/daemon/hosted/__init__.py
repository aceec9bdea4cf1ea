"""The daemon on the hosting platform: ``python3 -m ... hosted ROLE``.

Nothing is imported here, so that `__main__` handles signals early.
"""
