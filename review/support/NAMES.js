/** Names that the configuration, the callers and the workers of the scripts share. */
const NAMES = {
  host: 'review.example',
  team: 'team-a',
  apiKey: 'key-a',
  model: 'm0',
};

export default NAMES;
