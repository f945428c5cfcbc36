import { z } from 'zod';
import IDENTIFIER_PATTERN from './IDENTIFIER_PATTERN.js';

/** Identifier of a replica. */
const ReplicaId = z.string().regex(IDENTIFIER_PATTERN).brand<'ReplicaId'>();
type ReplicaId = z.infer<typeof ReplicaId>;

export default ReplicaId;
