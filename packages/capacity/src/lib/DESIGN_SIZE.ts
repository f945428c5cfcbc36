const SECONDS_PER_DAY = 86_400;
const VMS_PER_REPLICA = 4;
const WORKERS = 12_000;
const ENTRIES = 750;
const REGIONS = 11;
const HOMES_PER_SERVICE = 3;
const REPLICAS = WORKERS / VMS_PER_REPLICA;

/** The size to design for, and what follows from it by division. */
const DESIGN_SIZE = {
  entries: ENTRIES,
  regions: REGIONS,
  entriesPerRegion: Math.ceil(ENTRIES / REGIONS),
  workers: WORKERS,
  workersPerRegion: Math.ceil(WORKERS / REGIONS),
  replicas: REPLICAS,
  replicasPerRegion: Math.ceil(REPLICAS / REGIONS),
  vmsPerReplica: VMS_PER_REPLICA,
  homesPerService: HOMES_PER_SERVICE,
  replicasPerEntry: (REPLICAS * HOMES_PER_SERVICE) / ENTRIES,
  vmsPerEntry: (WORKERS * HOMES_PER_SERVICE) / ENTRIES,
  /** One service a replica, the largest number of services that the fleet can serve. */
  servicesPerRegion: Math.ceil(REPLICAS / REGIONS),
  services: REPLICAS,
  requestsPerSecond: 94_000,
  requestsPerEntry: 94_000 / ENTRIES,
  tokensPerEntry: 25_000_000 / ENTRIES,
  changesPerSecond: 64_000 / SECONDS_PER_DAY,
  /** An entry asks each VM of its homes once a second, a holder each VM without changes every 4 s. */
  reportsPerSecond: 1,
  holderReportsPerSecond: 1 / 4,
  /** A holder keeps the rows in memory and reads them again every 30 s. */
  holderRowReadsPerSecond: 1 / 30,
  /** Rounds of questions to a replica whose tokens are held, at most: they are at least 25 ms apart. */
  confirmationsPerSecond: 40,
  pollsPerSecond: 1,
  plansPerSecond: 1,
  pollersPerRegion: 3,
  /** A holder renews, and a contender reads, this many times a term of 6 s. */
  leaseStepsPerSecond: 4 / 6,
} as const;

export default DESIGN_SIZE;
