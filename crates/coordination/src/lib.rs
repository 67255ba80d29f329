//! Coordination parts: membership, configuration replicas, leases, fences, budgets
