import { z } from 'zod';
import IDENTIFIER_PATTERN from './IDENTIFIER_PATTERN.js';

/** Identifier of an entry process. */
const EntryId = z.string().regex(IDENTIFIER_PATTERN).brand<'EntryId'>();
type EntryId = z.infer<typeof EntryId>;

export default EntryId;
