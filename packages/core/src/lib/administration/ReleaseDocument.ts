import { z } from 'zod';
import ReleaseState from '../records/ReleaseState.js';

/** Response to `GET /admin/v1/release`. */
const ReleaseDocument = z.object({ state: ReleaseState });
type ReleaseDocument = z.infer<typeof ReleaseDocument>;

export default ReleaseDocument;
