"""Stand-ins of the platform's store, of callers and of VMs for the review's scripts."""
