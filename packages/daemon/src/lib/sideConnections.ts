/** Most open connections of a port that callers don't use: readiness, admin, operators. Balancers and operators' tools have a few dozen. */
export const MAX_SIDE_CONNECTIONS = 256
