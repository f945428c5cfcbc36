/** Names that a soak's configuration, its callers and its checks share. */
const SOAK_NAMES = {
  host: 'soak.example',
  region: 'region-1',
  /** The team whose key all requests carry. */
  team: 'team-a',
  apiKey: 'key-a',
  model: 'm0',
  domain: 'domain',
  /** Body of the request that ends each worker that begins it. */
  crashingBody: 'crash',
} as const;

export default SOAK_NAMES;
