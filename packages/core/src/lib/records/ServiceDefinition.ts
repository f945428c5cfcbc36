import { z } from 'zod';
import ServiceId from '../ids/ServiceId.js';
import TeamId from '../ids/TeamId.js';
import CallPattern from './CallPattern.js';
import Priority from './Priority.js';
import ServiceLimits from './ServiceLimits.js';

const MAXIMUM_REPLICAS = 1_000;
const MAXIMUM_VMS_PER_REPLICA = 64;
const MAXIMUM_ACCELERATORS_PER_VM = 64;
const MAXIMUM_NAME_LENGTH = 128;

const nameSchema = z.string().min(1).max(MAXIMUM_NAME_LENGTH);

const commonFields = {
  service: ServiceId,
  team: TeamId,
  replicas: z.number().int().min(0).max(MAXIMUM_REPLICAS),
  version: nameSchema,
  priority: Priority.default('interactive'),
  /** Whether the targets refuse orders with a stale fencing number; false if unknown. */
  targetsCheckFencing: z.boolean().default(false),
  limits: ServiceLimits.prefault({}),
};

/** Definition of a service in a release note. */
const ServiceDefinition = z.discriminatedUnion('kind', [
  z.strictObject({
    kind: z.literal('model'),
    ...commonFields,
    model: nameSchema,
    adapter: nameSchema.optional(),
    vmsPerReplica: z.number().int().min(1).max(MAXIMUM_VMS_PER_REPLICA),
    acceleratorsPerVM: z.number().int().min(1).max(MAXIMUM_ACCELERATORS_PER_VM),
  }),
  z.strictObject({
    kind: z.literal('plain'),
    ...commonFields,
    /** Calls that run at most once. Each needs an Idempotency-Key. */
    nonRepeatableCalls: z.array(CallPattern).max(64).default([]),
    vmsPerReplica: z.literal(1).default(1),
    acceleratorsPerVM: z.literal(0).default(0),
  }),
]);
type ServiceDefinition = z.infer<typeof ServiceDefinition>;

export default ServiceDefinition;
