import { z } from 'zod';
import IDENTIFIER_PATTERN from './IDENTIFIER_PATTERN.js';

/** Identifier of a VM. */
const VMId = z.string().regex(IDENTIFIER_PATTERN).brand<'VMId'>();
type VMId = z.infer<typeof VMId>;

export default VMId;
