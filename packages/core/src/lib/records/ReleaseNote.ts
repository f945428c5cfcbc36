import { z } from 'zod';
import ReleaseSequence from '../ids/ReleaseSequence.js';
import ServiceId from '../ids/ServiceId.js';
import TeamId from '../ids/TeamId.js';
import ServiceDefinition from './ServiceDefinition.js';

const MAXIMUM_ITEMS = 1_000;

/**
 * Set of service changes that operators publish. `writtenAgainst` is the release sequence
 * that the author saw: the note conflicts if another change has modified one of its
 * services since.
 */
const ReleaseNote = z.strictObject({
  writtenAgainst: ReleaseSequence,
  summary: z.string().max(500).default(''),
  add: z.array(ServiceDefinition).max(MAXIMUM_ITEMS).default([]),
  /** Complete new definitions of existing services. */
  change: z.array(ServiceDefinition).max(MAXIMUM_ITEMS).default([]),
  withdraw: z.array(ServiceId).max(MAXIMUM_ITEMS).default([]),
  /** Weights for fair sharing; a team without a weight has weight 1. */
  teamWeights: z.array(z.strictObject({
    team: TeamId,
    weight: z.number().positive().max(1_000),
  })).max(MAXIMUM_ITEMS).default([]),
});
type ReleaseNote = z.infer<typeof ReleaseNote>;

export default ReleaseNote;
