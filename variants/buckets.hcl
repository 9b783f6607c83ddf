# A plain host in place of the core.
plain = "buckets"
