"""Which calls a new version of a service gets, and whether it replaces the old one."""
