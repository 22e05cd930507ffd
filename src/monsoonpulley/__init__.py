"""monsoonpulley: a serving system on reclaimable machines."""
