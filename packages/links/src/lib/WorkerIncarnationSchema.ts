import { z } from 'zod';
import { WorkerId } from '@dandelionlane/core';

/** A life of a worker: its id, and the Unix time of its start in ms where that is known. */
const WorkerIncarnationSchema = z.object({ id: WorkerId, bornAt: z.number().nullable() });

export default WorkerIncarnationSchema;
