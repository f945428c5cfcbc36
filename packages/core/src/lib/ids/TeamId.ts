import { z } from 'zod';
import IDENTIFIER_PATTERN from './IDENTIFIER_PATTERN.js';

/** Identifier of a team, the customer that owns services and sends requests. */
const TeamId = z.string().regex(IDENTIFIER_PATTERN).brand<'TeamId'>();
type TeamId = z.infer<typeof TeamId>;

export default TeamId;
