"""Settings of a process, in INI format."""
