"""Why things happened: log lines by subject, told as sentences."""
