"""An entry instance of the product's own gateway: assembly and life."""
