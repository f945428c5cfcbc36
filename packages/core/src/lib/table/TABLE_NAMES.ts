/** Names of the system's tables in the platform's table service. */
const TABLE_NAMES = {
  /**
   * Key `head`: the latest accepted sequence. Key `change/<sequence, 12 digits>`: a
   * `ReleaseRecord`. Keys `snapshot` and `snapshot/<sequence, 12 digits>/<part, 6 digits>`:
   * the accumulated state of older changes.
   */
  releases: 'releases',
  /** Key `<region>/<service>`: a `ServicePlacement`. */
  placements: 'placements',
  /** Key `<region>/<vm>`: an `Allocation`. */
  allocations: 'allocations',
  /** Key `<region>`: a `LeaseRecord`. */
  leases: 'leases',
  /** Key: hash of team, service and idempotency key. */
  claims: 'claims',
  /** Key `<region>/<entry>`: an `EntryRecord`. */
  entries: 'entries',
} as const;

export default TABLE_NAMES;
