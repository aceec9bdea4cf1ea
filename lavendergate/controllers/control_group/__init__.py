"""Control of the members of the control group."""
