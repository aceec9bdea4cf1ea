"""Order in which statements that wait for the same member are served."""
