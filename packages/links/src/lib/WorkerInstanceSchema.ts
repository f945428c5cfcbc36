import { z } from 'zod';
import { WorkerId } from '@dandelionlane/core';

/** Incarnation of a worker: its id, and the Unix time of its start in ms; null if unknown. */
const WorkerInstanceSchema = z.object({ id: WorkerId, bornAt: z.number().nullable() });

export default WorkerInstanceSchema;
