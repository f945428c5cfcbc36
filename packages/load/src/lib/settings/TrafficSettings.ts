import { Priority, ServiceId } from '@dandelionlane/core';
import { z } from 'zod';

const MAXIMUM_TOKENS = 10_000;
const share = z.number().min(0).max(1);

/**
 * One kind of calls to one service. `chat`: chat completions of a model service.
 * `plain`: calls of a plain service that may be repeated. `keyed`: calls of a plain
 * service that run at most once, each with an Idempotency-Key.
 */
const TrafficSettings = z.discriminatedUnion('kind', [
  z.strictObject({
    kind: z.literal('chat'),
    service: ServiceId,
    priority: Priority.default('interactive'),
    /** Largest `max_tokens`; each call draws its own from 1 to this. */
    maximumTokens: z.number().int().min(1).max(MAXIMUM_TOKENS)
      .default(32),
    /** How many different prompt beginnings there are. */
    prefixes: z.number().int().min(1).default(8),
    streamShare: share.default(1),
  }),
  z.strictObject({
    kind: z.literal('plain'),
    service: ServiceId,
    /** How long the application takes, in milliseconds. */
    delayMilliseconds: z.number().nonnegative().default(0),
  }),
  z.strictObject({
    kind: z.literal('keyed'),
    service: ServiceId,
    delayMilliseconds: z.number().nonnegative().default(0),
    /** Share of the calls that send an earlier key and body again. */
    repeatShare: share.default(0.1),
  }),
]);
type TrafficSettings = z.infer<typeof TrafficSettings>;

export default TrafficSettings;
