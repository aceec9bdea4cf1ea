"""Division of a process's descriptors and memory between its connections."""
