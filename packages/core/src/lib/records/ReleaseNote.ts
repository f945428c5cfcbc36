import { z } from 'zod';
import ReleaseSequence from '../ids/ReleaseSequence.js';
import ServiceId from '../ids/ServiceId.js';
import TeamId from '../ids/TeamId.js';
import ServiceDefinition from './ServiceDefinition.js';

const MAXIMUM_ITEMS = 1_000;

/**
 * What operators publish. `writtenAgainst` is the release sequence that the author
 * saw: a service that another change touched after it makes the note conflict.
 */
const ReleaseNote = z.strictObject({
  writtenAgainst: ReleaseSequence,
  summary: z.string().max(500).default(''),
  add: z.array(ServiceDefinition).max(MAXIMUM_ITEMS).default([]),
  /** Whole new definitions of services that exist. */
  change: z.array(ServiceDefinition).max(MAXIMUM_ITEMS).default([]),
  withdraw: z.array(ServiceId).max(MAXIMUM_ITEMS).default([]),
  /** Weights for fair sharing; a team without one has weight 1. */
  teamWeights: z.array(z.strictObject({
    team: TeamId,
    weight: z.number().positive().max(1_000),
  })).max(MAXIMUM_ITEMS).default([]),
});
type ReleaseNote = z.infer<typeof ReleaseNote>;

export default ReleaseNote;
