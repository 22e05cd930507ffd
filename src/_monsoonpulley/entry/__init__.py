"""An entry instance behind the built-in gateway: assembly and lifecycle."""
