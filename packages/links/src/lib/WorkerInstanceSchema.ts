import { z } from 'zod';
import { WorkerId } from '@dandelionlane/core';

/** One run of a worker process: its worker id and the Unix time of its start in ms, null if unknown. */
const WorkerInstanceSchema = z.object({ id: WorkerId, bornAt: z.number().nullable() });

export default WorkerInstanceSchema;
