"""What the processes of one sidecar share while a new process takes over from the previous one."""
