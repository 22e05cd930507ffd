"""Private core of monsoonpulley; import from ``monsoonpulley`` instead."""
