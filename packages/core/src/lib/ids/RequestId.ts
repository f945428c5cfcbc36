import { z } from 'zod';
import IDENTIFIER_PATTERN from './IDENTIFIER_PATTERN.js';

/** Identifier of a request. */
const RequestId = z.string().regex(IDENTIFIER_PATTERN).brand<'RequestId'>();
type RequestId = z.infer<typeof RequestId>;

export default RequestId;
