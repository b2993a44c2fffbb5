"""What callers and operators reach over HTTP."""
