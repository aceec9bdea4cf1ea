"""Stand-ins and processes for the cases 6 to 10; standard library only."""
