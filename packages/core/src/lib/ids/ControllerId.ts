import { z } from 'zod';
import IDENTIFIER_PATTERN from './IDENTIFIER_PATTERN.js';

/** Identifier of a controller process. */
const ControllerId = z.string().regex(IDENTIFIER_PATTERN).brand<'ControllerId'>();
type ControllerId = z.infer<typeof ControllerId>;

export default ControllerId;
