import { z } from 'zod';
import IDENTIFIER_PATTERN from './IDENTIFIER_PATTERN.js';

/** Name of a group of workers that form one replica of a model. */
const GroupName = z.string().regex(IDENTIFIER_PATTERN).brand<'GroupName'>();
type GroupName = z.infer<typeof GroupName>;

export default GroupName;
