"""One daemon process: its roles, its gRPC server and its shutdown."""

INCARNATION_BYTES = 8
POLL_INTERVAL_S = 0.05
# Version of the software in the start event.
SOFTWARE_VERSION = '0.1.0'
