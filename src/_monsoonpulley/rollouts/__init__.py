"""Roll-outs of new versions of a service, and their roll-back."""
