import { z } from 'zod';
import IDENTIFIER_PATTERN from './IDENTIFIER_PATTERN.js';

/** Identifier of a region. */
const RegionId = z.string().regex(IDENTIFIER_PATTERN).brand<'RegionId'>();
type RegionId = z.infer<typeof RegionId>;

export default RegionId;
