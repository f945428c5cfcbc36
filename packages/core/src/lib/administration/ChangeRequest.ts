import { z } from 'zod';
import ReleaseChange from '../records/ReleaseChange.js';

/** Body of `POST /admin/v1/changes`. */
const ChangeRequest = z.strictObject({ change: ReleaseChange });
type ChangeRequest = z.infer<typeof ChangeRequest>;

export default ChangeRequest;
