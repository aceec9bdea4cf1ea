"""Parts of the takeover of services by another primary."""
