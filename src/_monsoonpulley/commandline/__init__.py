"""The command line: ``monsoonpulley COMMAND``."""
